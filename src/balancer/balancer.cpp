#include "balancer/balancer.hpp"

#include <algorithm>
#include <string>
#include <utility>

#include "balancer/start_time.hpp"

namespace cherryrail {
Balancer::Balancer(BalancerActions& actions, const BalancerConfig& config, std::uint64_t seed)
    : actions_(actions), parameters_(config), random_(seed) {
  if (parameters_.must_request_endpoints) actions_.watch_endpoints();
  health_checks_.run();
}

void Balancer::update_endpoint(const std::shared_ptr<Backend>& backend, EndpointState state,
                               double relative_capacity, Micros started_at, Micros current_until) {
  if (fleet_.has_restarted(*backend, started_at)) reset_failure_state(*backend);
  const Micros now = actions_.now();
  const Micros local_start = local_start_time(started_at, actions_.wall_clock_step(), now);
  const BackendStart start{started_at, validated_start_time(local_start, current_until, now)};
  fleet_.record_endpoint(backend, state, relative_capacity, start, now);
  update_state(*backend);
  fleet_.erase_if_gone(backend);
}

void Balancer::update_state(Backend& backend) {
  const bool is_disabled = backend.disabled_by_operator && backend.reported_state == EndpointState::ready;
  backend.state = is_disabled ? EndpointState::draining : backend.reported_state;
  if (backend.state == EndpointState::ready) return;
  const char* reported = backend.state == EndpointState::draining ? "is draining" : "is gone";
  migration_.migrate_all(backend, is_disabled ? "is disabled" : reported);
}

void Balancer::reset_failure_state(Backend& backend) {
  backend.outlier.reset();
  backend.capacity.remove();
  backend.latency.end_penalty(actions_.now());
}

void Balancer::set_disabled(Backend& backend, bool is_disabled) {
  if (std::exchange(backend.disabled_by_operator, is_disabled) == is_disabled) return;
  const char* change = is_disabled ? " disabled by operator" : " enabled by operator";
  actions_.log("backend " + std::to_string(backend.name) + change);
  if (is_disabled) {
    backend.disabled_at = actions_.now();
  } else {
    // The backend was most likely restarted while disabled: it warms up from now on, unless discovery has
    // reported a start since it was disabled.
    if (backend.slow_start.started_at() < backend.disabled_at)
      backend.slow_start.set_started_at(actions_.now());
    reset_failure_state(backend);
  }
  update_state(backend);
}

void Balancer::admit(const std::shared_ptr<Session>& session) {
  attempts_.record_admission();
  if (session->is_reconnecting) {
    arrivals_.record_reconnect(actions_.now());
  } else {
    arrivals_.record_new_session();
    health_checks_.record_new_session();
  }
  if (session->client_key == 0) session->client_key = random_.key();
  session->hash_key = hash_key_of(*session);
  // Guarantees an answer before the client's timeout, whatever happens to the attempts.
  const Micros answer_by = session->deadline - parameters_.answer_margin;
  session->answer_timer = actions_.call_at(answer_by, [this, weak = session->weak_from_this()] {
    if (const auto unanswered = weak.lock()) give_up(*unanswered);
  });
  place(*session);
}

void Balancer::place(Session& session) {
  if (session.pinned_backend) {
    place_at_pinned_backend(session);
    return;
  }
  while (session.attempts < parameters_.max_attempts && retry_policy_.is_within_budget(session) &&
         has_time_for_attempt(session)) {
    Backend* backend = placement_.choose(session);
    if (backend == nullptr) break;
    session.tried_backends.push_back(backend);
    if (start_attempt(session, *backend)) return;
  }
  give_up(session);
}

bool Balancer::has_time_for_attempt(const Session& session) const {
  return session.deadline - actions_.now() > 3 * parameters_.answer_margin;
}

void Balancer::place_at_pinned_backend(Session& session) {
  const bool is_possible = !is_shutting_down() && has_time_for_attempt(session);
  if (!is_possible || !start_attempt(session, *session.pinned_backend)) give_up(session);
}

void Balancer::retry_at_pinned_backend(Session& session, AttemptResult result) {
  ++session.pinned_failures;
  const bool may_have_reached_backend =
      result != AttemptResult::connect_failed && result != AttemptResult::not_sent;
  if (!may_have_reached_backend) --session.attempts;
  if (rules_.refuse_attempt(session, *session.pinned_backend) != Refusal::none) {
    give_up(session);
    return;
  }
  const Micros next_attempt_at = actions_.now() + RetryPolicy::pinned_retry_delay(session);
  actions_.call_at(next_attempt_at, [this, weak = session.weak_from_this()] {
    const auto waiting = weak.lock();
    if (waiting && !waiting->is_answered) place(*waiting);
  });
}

bool Balancer::start_attempt(Session& session, Backend& backend) {
  if (rules_.refuse_attempt(session, backend) != Refusal::none) return false;
  // A pinned session is not new load: the backend already held it.
  const bool is_pinned = session.pinned_backend != nullptr;
  if (!is_pinned && !slow_start_.may_admit(session, backend, placement_.fleet_load())) return false;
  session.attempt_started_at = actions_.now();
  ++session.attempts;
  slow_start_.record_attempt(backend);
  backend.outlier.record_attempt(session.attempt_started_at);
  attempts_.record_attempt(session);
  fleet_.attach(session, backend, session.attempt_started_at);
  session.on_backend_ended = [this, &session, &backend](const AttemptOutcome& outcome) {
    on_attempt_failed(session, backend, outcome);
  };
  actions_.start_attempt(session, backend, retry_policy_.attempt_timeout(session));
  return true;
}

void Balancer::on_attempt_ended(Session& session, const AttemptOutcome& outcome, bool is_finished,
                                const LoadReport& report) {
  if (session.backend == nullptr) return;
  const auto backend = session.backend;
  load_shedder_.record_load_report(*backend, report);
  fleet_.detach(session);
  const auto on_backend_ended = std::exchange(session.on_backend_ended, nullptr);
  if (is_finished && !session.is_answered) {
    mark_answered(session);
    if (outcome.result == AttemptResult::succeeded) outliers_.record_outcome(*backend, true);
  } else if (on_backend_ended) {
    on_backend_ended(outcome);
  }
}

void Balancer::on_attempt_failed(Session& session, Backend& backend, const AttemptOutcome& outcome) {
  const bool is_unsent_pinned_attempt =
      session.pinned_backend && outcome.result == AttemptResult::connect_failed;
  if (is_unsent_pinned_attempt || outcome.result == AttemptResult::not_sent)
    attempts_.return_attempt(session);
  // Failures over a slow network path say nothing about the backend. Nor do those of pinned sessions, which
  // are restored all at once.
  const bool counts_against_backend = penalties_.path_latency(backend) == 0 && !session.pinned_backend;
  if (counts_against_backend) record_failed_attempt(backend, outcome);
  if (may_have_run(outcome.result) && session.may_have_run_on == nullptr) {
    session.may_have_run_on = &backend;
    session.may_have_run_since = session.attempt_started_at;
  }
  if (session.is_answered) return;
  if (session.pinned_backend) {
    retry_at_pinned_backend(session, outcome.result);
  } else {
    place(session);
  }
}

void Balancer::record_failed_attempt(Backend& backend, const AttemptOutcome& outcome) {
  if (outcome.result == AttemptResult::connect_failed) outliers_.record_no_response(backend);
  if (outcome.result == AttemptResult::reset) capacity_.record_drop(backend);
  if (outcome.result == AttemptResult::timed_out) {
    capacity_.reduce(backend, 1);
    // The attempt would have taken longer than its timeout.
    attempts_.record_duration(2 * outcome.duration);
  }
  const bool is_failure =
      outcome.result != AttemptResult::not_sent && outcome.result != AttemptResult::cancelled;
  if (is_failure) outliers_.record_outcome(backend, false);
}

void Balancer::on_established(Session& session, Micros duration) {
  if (session.is_answered || session.backend == nullptr) return;
  Backend& backend = *session.backend;
  const bool is_representative = penalties_.path_latency(backend) == 0 && !session.pinned_backend;
  if (is_representative) attempts_.record_duration(duration);
  backend.outlier.record_response(actions_.now());
  outliers_.record_outcome(backend, true);
  record_established(session);
}

void Balancer::adopt(const std::shared_ptr<Session>& session, const std::shared_ptr<Backend>& backend) {
  session->hash_key = hash_key_of(*session);
  fleet_.attach(*session, *backend, actions_.now());
  record_established(*session);
}

// The client reconnects with a new open request, so earlier attempts do not limit where this session
// migrates.
void Balancer::record_established(Session& session) {
  send_final_answer(session, FinalAnswer::established);
  session.may_have_run_on = nullptr;
  fleet_.mark_established(session);
  session.on_backend_ended = [this, backend = session.backend.get()](const AttemptOutcome& outcome) {
    on_established_session_ended(*backend, outcome);
  };
  if (session.backend->state == EndpointState::ready && !is_shutting_down()) return;
  migration_.enqueue(session);
  migration_.run();
}

void Balancer::on_established_session_ended(Backend& backend, const AttemptOutcome& outcome) {
  if (outcome.result != AttemptResult::reset || backend.state != EndpointState::ready) return;
  capacity_.record_drop(backend);
  // Losing all sessions at once means a broken link or process and says nothing about the capacity.
  const auto is_established = [](const Session* held) { return held->is_established; };
  const bool lost_all = std::ranges::none_of(backend.sessions, is_established);
  const Micros simultaneous_within = parameters_.shortest_attempt_objective / 10;
  if (lost_all && capacity_.was_reduced_within(backend, simultaneous_within)) backend.capacity.remove();
  outliers_.record_outcome(backend, false);
}

void Balancer::give_up(Session& session) {
  if (rules_.refuse_answer(session) != Refusal::none) return;
  if (session.backend != nullptr && may_cancel_attempts()) actions_.cancel_attempt(session);
  const bool is_harmless = retry_policy_.is_rejection_harmless(session);
  send_final_answer(session, is_harmless ? FinalAnswer::rejected : FinalAnswer::failed);
}

void Balancer::on_client_left(Session& session) { mark_answered(session); }

// The timer would keep the memory of the session until the client's timeout, which the client chooses.
void Balancer::mark_answered(Session& session) {
  session.is_answered = true;
  actions_.cancel_call(session.answer_timer);
}

void Balancer::send_final_answer(Session& session, FinalAnswer final_answer) {
  if (rules_.refuse_answer(session) != Refusal::none) return;
  mark_answered(session);
  if (final_answer == FinalAnswer::failed) actions_.fail_session(session);
  if (final_answer != FinalAnswer::rejected) return;
  const bool has_advice = parameters_.may_send_retry_after;
  actions_.reject_session(session, has_advice ? random_.jittered(parameters_.max_retry_after / 2) : 0);
}

void Balancer::on_health_check_ended(Backend& backend, const AttemptOutcome& outcome,
                                     const LoadReport& report) {
  backend.health_check.end();
  load_shedder_.record_load_report(backend, report);
  // The backend has too many health checks to answer, which says nothing about its health.
  if (outcome.result == AttemptResult::rejected) return;
  const bool is_success = outcome.result == AttemptResult::succeeded;
  if (is_success)
    backend.outlier.record_response(actions_.now());
  else
    outliers_.record_no_response(backend);
  // A successful health check shows that the process is reachable, not that it can serve sessions. It counts
  // as a recovery success only for a backend ejected as unresponsive; for a backend ejected for failed
  // attempts, it only allows the next attempt.
  if (is_success && backend.outlier.is_ejected() && !backend.outlier.is_unresponsive())
    backend.outlier.allow_recovery_attempt(actions_.now());
  else
    outliers_.record_outcome(backend, is_success);
}

void Balancer::on_load_reported(Session& session, double load) {
  if (session.backend == nullptr || load <= 0) return;
  fleet_.record_load(session, load);
  session.backend->outlier.record_response(actions_.now());
}

void Balancer::on_message_latency_reported(Session& session, Micros latency) {
  if (session.backend == nullptr) return;
  const auto backend = session.backend;  // a copy: a migration may end the session in this function
  backend->outlier.record_response(actions_.now());
  latency_outliers_.record_message_latency(*backend, latency);
  if (backend->latency.penalty().is_active(actions_.now())) return;
  load_shedder_.record_message_latency(*backend, latency);
}

void Balancer::on_session_unresponsive(Session& session) {
  if (session.backend == nullptr || std::exchange(session.is_unresponsive, true)) return;
  const char* state = session.is_migration_queued ? ", was waiting to migrate" : "";
  actions_.log("session unresponsive at backend " + std::to_string(session.backend->name) + state);
  // No session is placed at a draining backend, so its failures affect no decision.
  if (session.backend->state == EndpointState::ready) outliers_.record_no_response(*session.backend);
  migration_.migrate_unresponsive(session);
}

}  // namespace cherryrail
