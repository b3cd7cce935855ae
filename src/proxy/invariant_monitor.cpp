#include "proxy/invariant_monitor.hpp"

#include "balancer/backend.hpp"

namespace cherryrail::proxy {
namespace {

// An answer after the client's timeout has no value. It violates the invariant only after this grace period,
// when the client no longer receives it.
constexpr Micros kAnswerGracePeriod = 500'000;

bool must_not_run_twice(const Session& session) {
  return session.traffic_class != nullptr &&
         session.traffic_class->idempotency == Idempotency::non_idempotent;
}

}  // namespace

std::string_view to_string(Invariant invariant) {
  switch (invariant) {
    case Invariant::one_final_answer:
      return "one_final_answer";
    case Invariant::answer_in_time:
      return "answer_in_time";
    case Invariant::one_attempt_at_a_time:
      return "one_attempt_at_a_time";
    case Invariant::no_request_without_client:
      return "no_request_without_client";
    case Invariant::no_request_to_unready_backend:
      return "no_request_to_unready_backend";
    case Invariant::no_effect_twice:
      return "no_effect_twice";
  }
  return "unknown";
}

void InvariantMonitor::expect(bool holds, Invariant invariant, std::string_view session_id) {
  if (holds) return;
  ++violations_[static_cast<std::size_t>(invariant)];
  log_.write(net::Topic::error, "invariant violated: {} session={}", to_string(invariant), session_id);
}

void SessionInvariants::on_attempt_started(std::string_view session_id) {
  monitor_.expect(!has_attempt_, Invariant::one_attempt_at_a_time, session_id);
  has_attempt_ = true;
  is_request_sent_ = false;
}

void SessionInvariants::on_request_not_run() {
  if (is_request_sent_) may_have_run_ = may_have_run_before_;
}

void SessionInvariants::on_request(const Session& session, std::string_view session_id,
                                   const Backend& backend, bool has_client) {
  monitor_.expect(has_client, Invariant::no_request_without_client, session_id);
  monitor_.expect(backend.state == EndpointState::ready, Invariant::no_request_to_unready_backend,
                  session_id);
  monitor_.expect(!may_have_run_ || !must_not_run_twice(session), Invariant::no_effect_twice, session_id);
  is_request_sent_ = true;
  may_have_run_before_ = may_have_run_;
  may_have_run_ = true;
}

void SessionInvariants::on_final_answer(const Session& session, std::string_view session_id, Micros now,
                                        bool invites_retry) {
  monitor_.expect(!has_final_answer_, Invariant::one_final_answer, session_id);
  has_final_answer_ = true;
  const bool is_in_time = session.deadline == 0 || now <= session.deadline + kAnswerGracePeriod;
  monitor_.expect(is_in_time, Invariant::answer_in_time, session_id);
  const bool is_retry_safe = !invites_retry || !may_have_run_ || !must_not_run_twice(session);
  monitor_.expect(is_retry_safe, Invariant::no_effect_twice, session_id);
}

}  // namespace cherryrail::proxy
