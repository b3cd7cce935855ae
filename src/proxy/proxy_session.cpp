#include "proxy/proxy_session.hpp"

#include <array>
#include <charconv>
#include <utility>

namespace cherryrail::proxy {
namespace {

constexpr Micros kLineEnds = 500'000;  // how long a move waits for the end of a torn line

}  // namespace

void ProxySession::client_passes(std::string_view bytes) {
  if (!server) return;
  if (asked_at_ == 0) asked_at_ = event_loop_.now();
  server->pass(bytes);
}

void ProxySession::client_ended(Ended how) {
  client_left_ = true;
  if (is_established) {
    if (how == Ended::orderly) {
      if (server) server->finish();
      return;
    }
    client = nullptr;
    if (server) server->drop();
    setup_over({AttemptResult::cancelled, event_loop_.now() - attempt_started_at}, true, {});
    return;
  }
  if (how == Ended::broken) client = nullptr;
  give_up_client("client_left");
}

void ProxySession::client_spoke_early() { give_up_client("early_data"); }

// It may only have ended its sending: so it is told, and the setup under way is not left to run for nobody.
// Where the site lets none be cancelled, what has gone out already runs to its end all the same.
void ProxySession::give_up_client(const char* reason) {
  balancer_.on_client_left(*this);
  if (client) client->finish("ERR", reason);
  if (server && (balancer_.may_cancel_attempts() || !server->has_sent())) abandon();
}

// Danger: while its connection came up, or the loop stood still, the client may have left, its backend may
// have been told to drain, or the time in which a repeat is known may have passed.
bool ProxySession::may_still_send() {
  const auto keep = self();
  if (client) client->look();
  const Backend* to = stood_at ? stood_at.get() : backend.get();
  return client && to && balancer_.may_still_send(*this, *to);
}

void ProxySession::came_up(std::string_view line, Micros duration) {
  const auto keep = self();
  if (!client || is_answered) return abandon();  // is_answered before: what comes now is nobody's
  client->pass(line, "\r\n");
  if (const auto stood = std::exchange(stood_at, nullptr))
    balancer_.adopt(keep, stood);
  else
    balancer_.on_established(*this, duration);
}

void ProxySession::server_passes(std::string_view bytes) {
  const auto keep = self();
  if (bytes.empty() || !client) return;
  client->pass(bytes, {});
  between_lines_ = bytes.back() == '\n';
  if (to_move_ && between_lines_) return part();
  // Only what is late is told: an echo shows that lines pass, not how laden the backend is, and the module
  // looks less often at what it has heard from.
  const Micros asked = std::exchange(asked_at_, 0), duration = asked > 0 ? event_loop_.now() - asked : 0;
  if (duration > traffic_class->message_latency_objective)
    balancer_.on_message_latency_reported(*this, duration);
}

void ProxySession::server_ended(Ended how, const AttemptOutcome& outcome, const LoadReport& report,
                                std::string_view last_line) {
  const auto keep = self();
  server = nullptr;
  const bool finished = is_established || outcome.result == AttemptResult::succeeded;
  if (client && finished) {
    const char* reason = outcome.result == AttemptResult::succeeded ? "served" : "backend_closed";
    how == Ended::orderly ? client->finish(last_line, reason) : client->drop(reason);
  }
  setup_over(outcome, finished, report);
}

// Danger: this is often called from within the module's own step; so the module hears of it soon, not now.
void ProxySession::setup_over(const AttemptOutcome& outcome, bool finished, const LoadReport& report) {
  event_loop_.post([self = self(), outcome, finished, report] {
    if (std::exchange(self->stood_at, nullptr) && !self->is_answered && !finished) {
      // It could not be opened again where it stood. Whether that setup ran matters for the next one.
      if (self->traffic_class->idempotency == Idempotency::idempotent ||
          outcome.result == AttemptResult::rejected || outcome.result == AttemptResult::connect_failed ||
          outcome.result == AttemptResult::not_sent)
        return self->balancer_.admit(self);
      if (self->client) self->client->finish("ERR", "failed");
      return;
    }
    self->balancer_.on_attempt_ended(*self, outcome, finished, report);
  });
}

std::optional<OutgoingHandover> ProxySession::to_hand() const {
  if (!is_established || !between_lines_ || client_left_ || !client || !server) return {};
  const int downstream = client->flat_settings();
  const int upstream = server->flat_settings();
  if (downstream < 0 || upstream < 0) return {};
  OpenSession handed;
  handed.open_request = head.line();
  handed.waited = unanswered_for(event_loop_.now());
  return OutgoingHandover{std::move(handed), downstream, upstream};
}

void ProxySession::gone() {
  const auto keep = self();
  client->handed();
  server->handed();
  setup_over({AttemptResult::cancelled, event_loop_.now() - attempt_started_at}, true, {});
}

void ProxySession::stands_at(const std::shared_ptr<Backend>& holder, Micros waited) {
  attempt_started_at = event_loop_.now();
  if (waited > 0) asked_at_ = event_loop_.now() - waited;
  balancer_.adopt(self(), holder);
}

// For the log: what most stood in the way, as far as can be told.
const char* ProxySession::why_declined() const {
  if (balancer_.is_shutting_down()) return "rejected reason=shutting_down";
  if (attempts > 0) return "rejected reason=attempts_failed";
  if (passed_over_warming_up > passed_over_at_capacity) return "rejected reason=backends_warming_up";
  return passed_over_at_capacity > 0 ? "rejected reason=no_capacity" : "rejected reason=no_backend";
}

void ProxySession::decline(Micros retry_after) {
  if (!client) return;
  std::array<char, 32> line{'B', 'U', 'S', 'Y', ' '};
  char* end = line.data() + 4;
  if (retry_after > 0)
    end = std::to_chars(line.data() + 5, line.data() + line.size(), (retry_after + 999) / 1000).ptr;
  client->finish({line.data(), static_cast<std::size_t>(end - line.data())}, why_declined());
}

void ProxySession::fail_session() {
  if (client) client->finish("ERR", "failed");
}

void ProxySession::abandon() {
  if (!server) return;
  server->abandon();
  setup_over({AttemptResult::cancelled, event_loop_.now() - attempt_started_at}, is_answered, {});
}

void ProxySession::move() {
  if (!is_established || to_move_) return;
  if (between_lines_ || !client) return part();
  to_move_ = true;
  event_loop_.call_at(event_loop_.now() + kLineEnds, [weak = weak_from_this()] {
    if (const auto session = weak.lock(); session && session->is_established)
      static_cast<ProxySession&>(*session).part();
  });
}

void ProxySession::last_call() {
  const auto keep = self();
  if (is_established) return move();
  balancer_.give_up(*this);
  if (server) abandon();
}

void ProxySession::part() {
  to_move_ = false;
  if (client) client->finish(between_lines_ ? "MOVE" : "", "migrated");
  if (server) server->abandon();
  setup_over({AttemptResult::cancelled, event_loop_.now() - attempt_started_at}, true, {});
}

}  // namespace cherryrail::proxy
