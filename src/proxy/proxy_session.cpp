#include "proxy/proxy_session.hpp"

#include <fmt/format.h>

#include <string>
#include <utility>

#include "proxy/proxy_backend.hpp"

namespace cherryrail::proxy {
namespace {

// How long a migration waits for the end of a line that the backend has begun.
constexpr Micros kLineEndTimeout = 500'000;

}  // namespace

void ProxySession::set_downstream_reading(bool wanted) {
  if (downstream_) downstream_->set_reading(wanted);
}

void ProxySession::set_upstream_reading(bool wanted) {
  if (upstream_) upstream_->set_reading(wanted);
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
  return unanswered_since_ > 0 ? now - unanswered_since_ : 0;
}

// ---- The client's end
// -----------------------------------------------------------------------------------

void ProxySession::on_downstream_data(std::string_view bytes) {
  if (!upstream_) return;
  if (unanswered_since_ == 0) unanswered_since_ = event_loop_.now();
  upstream_->send(bytes);
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
    upstream_->end_sending();
  }
}

void ProxySession::on_early_data() { end_before_answer(DownstreamResult::early_data); }

// The client may only have ended its sending, so it is answered; and the
// attempt under way is not left to run for nobody. Where the site lets none be
// cancelled, what has been sent runs to its end all the same.
void ProxySession::end_before_answer(DownstreamResult result) {
  balancer_.on_client_left(*this);
  refuse("ERR", result);
  if (upstream_ && (balancer_.may_cancel_attempts() || !upstream_->has_sent_request())) abandon_attempt();
}

// ---- The backend's end
// ----------------------------------------------------------------------------------

// While the connection was established, or the loop was held up, the client may
// have left, the backend may have begun to drain, or the time in which the
// backends recognise a repeated request may have passed.
bool ProxySession::may_send_request() {
  const auto keep_alive = self();
  if (downstream_) downstream_->read_now();
  const Backend* const target = backend.get();
  if (downstream_ == nullptr || target == nullptr) return false;
  const Refusal refusal = balancer_.refuse_request(*this, *target);
  if (refusal != Refusal::none) {
    event_loop_.log().write(net::Topic::connection, "request not sent: session={} backend={} reason={}", id(),
                            target->name, to_string(refusal));
    return false;
  }
  invariants_.on_request(*this, id(), *target, !has_client_left_);
  return true;
}

void ProxySession::on_upstream_established(std::string_view line, Micros duration) {
  const auto keep_alive = self();
  if (!downstream_ || is_answered) {  // answered already: what comes now is for nobody
    abandon_attempt();
    return;
  }
  check_final_answer(false);
  downstream_->send(line, "\r\n");
  balancer_.on_established(*this, duration);
}

void ProxySession::on_upstream_data(std::string_view bytes) {
  const auto keep_alive = self();
  if (bytes.empty() || !downstream_) return;
  downstream_->send(bytes, {});
  is_between_lines_ = bytes.back() == '\n';
  if (is_migration_pending_ && is_between_lines_) {
    close_for_migration();
    return;
  }
  // Only a late answer is reported: a prompt one shows that lines pass, not how
  // loaded the backend is, and the balancer checks a backend's health less
  // often once it has heard from it.
  const Micros asked_at = std::exchange(unanswered_since_, 0);
  const Micros duration = asked_at > 0 ? event_loop_.now() - asked_at : 0;
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
    const auto result = has_succeeded ? DownstreamResult::served : DownstreamResult::backend_closed;
    if (kind == CloseKind::orderly) {
      downstream_->finish(last_line, result);
    } else {
      downstream_->reset(result);
    }
  }
  report_attempt_end(outcome, is_finished, report);
}

// ---- The end of an attempt
// ------------------------------------------------------------------------------

// Posted: a call from within the balancer's own step would change what that
// step works on.
void ProxySession::report_attempt_end(const AttemptOutcome& outcome, bool is_finished,
                                      const LoadReport& report) {
  event_loop_.post([session = self(), outcome, is_finished, report] {
    session->balancer_.on_attempt_ended(*session, outcome, is_finished, report);
  });
}

void ProxySession::report_cancelled(bool is_finished) {
  report_attempt_end({AttemptResult::cancelled, event_loop_.now() - attempt_started_at}, is_finished, {});
}

// ---- What the balancer asks for
// -------------------------------------------------------------------------

// What most kept the session from being placed, as far as can be told.
DownstreamResult ProxySession::rejection_result() const {
  if (balancer_.is_shutting_down()) return DownstreamResult::rejected_shutting_down;
  if (attempts > 0) return DownstreamResult::rejected_attempts_failed;
  if (passed_over_warming_up > passed_over_at_capacity) return DownstreamResult::rejected_backends_warming_up;
  return passed_over_at_capacity > 0 ? DownstreamResult::rejected_no_capacity
                                     : DownstreamResult::rejected_no_backend;
}

void ProxySession::reject(Micros retry_after) {
  const Micros milliseconds = (retry_after + 999) / 1000;  // rounded up: no earlier than asked for
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
  if (is_between_lines_ || !downstream_) {
    close_for_migration();
    return;
  }
  is_migration_pending_ = true;
  event_loop_.call_at(event_loop_.now() + kLineEndTimeout, [weak = weak_from_this()] {
    const auto session = std::static_pointer_cast<ProxySession>(weak.lock());
    if (session && session->is_established) session->close_for_migration();
  });
}

// A client that has part of a line gets no MOVE: it would read it as the rest
// of that line.
void ProxySession::close_for_migration() {
  is_migration_pending_ = false;
  if (downstream_) downstream_->finish(is_between_lines_ ? "MOVE" : "", DownstreamResult::migrated);
  if (upstream_) upstream_->abandon();
  report_cancelled(true);
}

void ProxySession::shut_down() {
  const auto keep_alive = self();
  if (is_established) {
    migrate();
    return;
  }
  balancer_.give_up(*this);
  if (upstream_) abandon_attempt();
}

// ---- Hot restart
// ----------------------------------------------------------------------------------------

std::optional<OutgoingHandover> ProxySession::prepare_handover() const {
  if (!is_established || !is_between_lines_ || has_client_left_ || !downstream_ || !upstream_) return {};
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

void ProxySession::resume(const std::shared_ptr<Backend>& holder, Micros waited) {
  attempt_started_at = event_loop_.now();
  if (waited > 0) unanswered_since_ = event_loop_.now() - waited;
  balancer_.adopt(self(), holder);
}

}  // namespace cherryrail::proxy
