#include "proxy/proxy_session.hpp"

#include <fmt/format.h>

#include <string>
#include <utility>

#include "proxy/proxy_backend.hpp"

namespace cherryrail::proxy {
namespace {

// How long a migration waits for the backend to complete a partly received line, which is lost otherwise.
constexpr Micros kLineCompletionTimeout = 500'000;

}  // namespace

void ProxySession::set_downstream_reading(bool is_enabled) {
  if (downstream_) downstream_->set_reading(is_enabled);
}

void ProxySession::set_upstream_reading(bool is_enabled) {
  is_upstream_reading_ = is_enabled;
  if (upstream_) upstream_->set_reading(is_enabled);
}

void ProxySession::set_upstream(UpstreamConnection* upstream) {
  upstream_ = upstream;
  if (upstream) {
    invariants_.on_attempt_started(id());
  } else {
    invariants_.on_attempt_ended();
  }
}

Micros ProxySession::time_unanswered(Micros now) const {
  return unanswered_since_ > 0 && is_upstream_reading_ ? now - unanswered_since_ : 0;
}

// ---- Downstream events ----------------------------------------------------------------------------------

void ProxySession::on_downstream_data(std::string_view bytes) {
  if (!upstream_) return;
  downstream_lines_.feed(bytes, [this](std::string_view lines) { forward_upstream(lines); });
}

void ProxySession::forward_upstream(std::string_view lines) {
  if (unanswered_since_ == 0) unanswered_since_ = event_loop_.now();
  upstream_->send(lines);
}

void ProxySession::forward_partial_line_upstream() {
  if (downstream_lines_.has_partial_line()) upstream_->send(downstream_lines_.take_partial_line());
}

void ProxySession::on_downstream_closed(CloseKind kind) {
  has_client_left_ = true;
  const bool is_broken = kind == CloseKind::broken;
  if (is_broken) downstream_ = nullptr;
  if (!is_established) {
    end_before_answer(DownstreamResult::client_left);
  } else if (is_broken) {
    if (upstream_) upstream_->reset();
    report_cancelled(true);
  } else if (upstream_) {
    forward_partial_line_upstream();
    upstream_->end_sending();
  }
}

void ProxySession::on_early_data() { end_before_answer(DownstreamResult::early_data); }

// The client is answered, because it may have closed only its sending side. The current attempt is abandoned,
// since nobody awaits its result, unless its request has been sent and the site forbids cancelling attempts.
void ProxySession::end_before_answer(DownstreamResult result) {
  balancer_.on_client_left(*this);
  refuse("ERR", result);
  if (upstream_ && (balancer_.may_cancel_attempts() || !upstream_->has_sent_request())) abandon_attempt();
}

// ---- Upstream events ------------------------------------------------------------------------------------

// Checked again here because, while the connection was being established or the event loop was stalled, the
// client may have left, the backend may have started to drain, or the backends' deduplication window for a
// repeated request may have passed.
bool ProxySession::may_send_request() {
  const auto keep_alive = self();
  if (downstream_) downstream_->read_now();
  const Backend* const target = backend.get();
  if (downstream_ == nullptr || target == nullptr || !claim_id()) return false;
  const Refusal refusal = balancer_.refuse_request(*this, *target);
  if (refusal != Refusal::none) {
    event_loop_.log().write(net::Topic::connection, "request not sent: session={} backend={} reason={}", id(),
                            target->name, to_string(refusal));
    return false;
  }
  invariants_.on_request(*this, id(), *target, !has_client_left_);
  return true;
}

bool ProxySession::claim_id() {
  if (!id_registration_ || id_registration_->claim()) return true;
  event_loop_.log().write(net::Topic::connection, "request not sent: session={} reason=duplicate_id", id());
  balancer_.on_client_left(*this);
  refuse("ERR", DownstreamResult::bad_request);
  return false;
}

void ProxySession::on_upstream_established(std::string_view line, Micros duration) {
  const auto keep_alive = self();
  if (!downstream_ || is_answered) {  // the client has left or already has its final answer
    abandon_attempt();
    return;
  }
  check_final_answer(false);
  downstream_->send(line, "\r\n");
  balancer_.on_established(*this, duration);
}

void ProxySession::on_upstream_data(std::string_view bytes) {
  const auto keep_alive = self();
  upstream_lines_.feed(bytes, [this](std::string_view lines) { forward_downstream(lines); });
}

void ProxySession::forward_downstream(std::string_view lines) {
  if (!downstream_) return;
  downstream_->send(lines, {});
  if (is_migration_pending_ && !upstream_lines_.is_within_overlong_line()) {
    close_for_migration();
    return;
  }
  // Only a latency above the objective is reported. A fast answer shows that the connection works, not how
  // loaded the backend is; and the balancer checks a backend's health less often after each report from it.
  const Micros line_sent_at = std::exchange(unanswered_since_, 0);
  const Micros duration = line_sent_at > 0 ? event_loop_.now() - line_sent_at : 0;
  if (duration > traffic_class->message_latency_objective)
    balancer_.on_message_latency_reported(*this, duration);
}

void ProxySession::on_upstream_closed(CloseKind kind, const AttemptOutcome& outcome, const LoadReport& report,
                                      std::string_view last_line) {
  const auto keep_alive = self();
  set_upstream(nullptr);
  const bool has_succeeded = outcome.result == AttemptResult::succeeded;
  const bool is_finished = is_established || has_succeeded;
  if (!may_have_run(outcome.result)) invariants_.on_request_not_run();
  if (downstream_ && is_finished) {
    if (!is_established) check_final_answer(false);
    if (upstream_lines_.has_partial_line()) downstream_->send(upstream_lines_.take_partial_line(), {});
    const auto result = has_succeeded ? DownstreamResult::served : DownstreamResult::backend_closed;
    if (kind == CloseKind::orderly) {
      downstream_->finish(last_line, result);
    } else {
      downstream_->reset(result);
    }
  }
  report_attempt_end(outcome, is_finished, report);
}

// ---- Reports to the balancer ----------------------------------------------------------------------------

// Posted, because a nested call from within a balancer call would modify the state that call works on.
void ProxySession::report_attempt_end(const AttemptOutcome& outcome, bool is_finished,
                                      const LoadReport& report) {
  event_loop_.post([session = self(), outcome, is_finished, report] {
    session->balancer_.on_attempt_ended(*session, outcome, is_finished, report);
  });
}

void ProxySession::report_cancelled(bool is_finished) {
  report_attempt_end({AttemptResult::cancelled, event_loop_.now() - attempt_started_at}, is_finished, {});
}

// ---- Actions requested by the balancer ------------------------------------------------------------------

// The main reason, as far as known, why no backend could be selected for the session.
DownstreamResult ProxySession::rejection_result() const {
  if (balancer_.is_shutting_down()) return DownstreamResult::rejected_shutting_down;
  if (attempts > 0) return DownstreamResult::rejected_attempts_failed;
  if (passed_over_warming_up > passed_over_at_capacity) return DownstreamResult::rejected_backends_warming_up;
  return passed_over_at_capacity > 0 ? DownstreamResult::rejected_no_capacity
                                     : DownstreamResult::rejected_no_backend;
}

void ProxySession::reject(Micros retry_after) {
  // Rounded up, so that the client never retries earlier than requested.
  const Micros milliseconds = (retry_after + (kMillisecond - 1)) / kMillisecond;
  const std::string line = retry_after > 0 ? fmt::format("BUSY {}", milliseconds) : "BUSY";
  refuse(line, rejection_result());
}

void ProxySession::refuse(std::string_view last_line, DownstreamResult result) {
  if (!downstream_) return;
  check_final_answer(last_line.starts_with("BUSY"));
  downstream_->finish(last_line, result);
}

void ProxySession::check_final_answer(bool invites_retry) {
  invariants_.on_final_answer(*this, id(), event_loop_.now(), invites_retry);
}

void ProxySession::fail() { refuse("ERR", DownstreamResult::failed); }

void ProxySession::abandon_attempt() {
  if (!upstream_) return;
  upstream_->abandon();
  report_cancelled(is_answered);
}

void ProxySession::migrate() {
  if (!is_established || is_migration_pending_) return;
  if (is_between_lines() || !downstream_) {
    close_for_migration();
    return;
  }
  is_migration_pending_ = true;
  migration_timer_ = net::Timer(event_loop_, event_loop_.now() + kLineCompletionTimeout, [this] {
    const auto keep_alive = self();
    if (is_established) close_for_migration();
  });
}

bool ProxySession::is_between_lines() const {
  return !upstream_lines_.has_partial_line() && !upstream_lines_.is_within_overlong_line();
}

// A client that has received part of an overlong line gets no MOVE, which it would read as the rest of that
// line. The beginning of any other line has been held back and is dropped, as is the client's.
void ProxySession::close_for_migration() {
  is_migration_pending_ = false;
  const bool is_within_line = upstream_lines_.is_within_overlong_line();
  if (downstream_) downstream_->finish(is_within_line ? "" : "MOVE", DownstreamResult::migrated);
  if (upstream_) upstream_->abandon();
  report_cancelled(true);
}

void ProxySession::shut_down() {
  const auto keep_alive = self();
  if (is_established) {
    // The process stops too soon to wait for the rest of a line.
    if (!upstream_lines_.is_within_overlong_line()) close_for_migration();
    return;
  }
  balancer_.give_up(*this);
  if (upstream_) abandon_attempt();
}

// ---- Hot restart ----------------------------------------------------------------------------------------

std::optional<OutgoingHandover> ProxySession::prepare_handover() {
  if (!is_established || !is_between_lines() || has_client_left_ || !downstream_ || !upstream_) return {};
  // A slow client may take long to complete its line, which the successor then passes on from here.
  forward_partial_line_upstream();
  const std::optional<int> downstream = downstream_->transferable_descriptor();
  const std::optional<int> upstream = upstream_->transferable_descriptor();
  if (!downstream || !upstream) return {};
  OpenSession message;
  message.open_request = request_.line();
  message.backend = as_proxy_backend(*backend).uid;
  message.waited = time_unanswered(event_loop_.now());
  return OutgoingHandover{std::move(message), *downstream, *upstream};
}

void ProxySession::release_to_successor() {
  const auto keep_alive = self();
  downstream_->release_to_successor();
  upstream_->release_to_successor();
  report_cancelled(true);
}

void ProxySession::resume(const std::shared_ptr<Backend>& serving_backend, Micros waited) {
  attempt_started_at = event_loop_.now();
  if (waited > 0) unanswered_since_ = event_loop_.now() - waited;
  balancer_.adopt(self(), serving_backend);
}

}  // namespace cherryrail::proxy
