#include "net/exchange.hpp"

#include <array>
#include <charconv>
#include <utility>

namespace cherryrail::net {
namespace {

constexpr Micros kLineEnds = 500'000;  // how long a move waits for the end of a torn line

}  // namespace

void Exchange::client_passes(std::string_view bytes) {
  if (!server) return;
  if (asked_at_ == 0) asked_at_ = loop_.now();
  server->pass(bytes);
}

void Exchange::client_ended(Ended how) {
  client_left_ = true;
  if (open) {
    if (how == Ended::orderly) {
      if (server) server->finish();
      return;
    }
    client = nullptr;
    if (server) server->drop();
    setup_over({Result::cancelled, loop_.now() - sent_at}, true, {});
    return;
  }
  if (how == Ended::broken) client = nullptr;
  give_up_client("client_left");
}

void Exchange::client_spoke_early() { give_up_client("spoke_early"); }

// It may only have ended its sending: so it is told, and the setup under way is not left to run for nobody.
// Where the site lets none be cancelled, what has gone out already runs to its end all the same.
void Exchange::give_up_client(const char* reason) {
  relay_.client_gone(*this);
  if (client) client->finish("ERR", reason);
  if (server && (relay_.may_abandon() || !server->has_sent())) abandon();
}

// Danger: while its connection came up, or the loop stood still, the client may have left, its backend may
// have been told to drain, or the time in which a repeat is known may have passed.
bool Exchange::may_go() {
  const auto keep = self();
  if (client) client->look();
  const Backend* to = stood_at ? stood_at.get() : ep.get();
  return client && to && relay_.may_go(*this, *to);
}

void Exchange::came_up(std::string_view line, Micros took) {
  const auto keep = self();
  if (!client || answered) return abandon();  // answered before: what comes now is nobody's
  client->pass(line, "\r\n");
  if (const auto stood = std::exchange(stood_at, nullptr))
    relay_.adopt(keep, stood);
  else
    relay_.established(*this, took);
}

void Exchange::server_passes(std::string_view bytes) {
  const auto keep = self();
  if (bytes.empty() || !client) return;
  client->pass(bytes, {});
  between_lines_ = bytes.back() == '\n';
  if (to_move_ && between_lines_) return part();
  // Only what is late is told: an echo shows that lines pass, not how laden the backend is, and the module
  // looks less often at what it has heard from.
  const Micros asked = std::exchange(asked_at_, 0), took = asked > 0 ? loop_.now() - asked : 0;
  if (took > profile->message_goal) relay_.delay_told(*this, took);
}

void Exchange::server_ended(Ended how, const Ending& ending, const LoadReport& report,
                            std::string_view last_line) {
  const auto keep = self();
  server = nullptr;
  const bool finished = open || ending.result == Result::opened;
  if (client && finished) {
    const char* reason = ending.result == Result::opened ? "served" : "backend_ended";
    how == Ended::orderly ? client->finish(last_line, reason) : client->drop(reason);
  }
  setup_over(ending, finished, report);
}

// Danger: this is often called from within the module's own step; so the module hears of it soon, not now.
void Exchange::setup_over(const Ending& ending, bool finished, const LoadReport& report) {
  loop_.soon([self = self(), ending, finished, report] {
    if (std::exchange(self->stood_at, nullptr) && !self->answered && !finished) {
      // It could not be opened again where it stood. Whether that setup ran matters for the next one.
      if (self->profile->effect == Effect::repeatable || ending.result == Result::rejected ||
          ending.result == Result::connect_failed || ending.result == Result::moot)
        return self->relay_.take(self);
      if (self->client) self->client->finish("ERR", "closed_with_error");
      return;
    }
    self->relay_.setup_ended(*self, ending, finished, report);
  });
}

std::optional<Handed> Exchange::to_hand() const {
  if (!open || !between_lines_ || client_left_ || !client || !server) return {};
  Handed handed;
  handed.client = client->settled();
  handed.server = server->settled();
  if (handed.client < 0 || handed.server < 0) return {};
  handed.head = head.line();
  handed.waited = unanswered_for(loop_.now());
  return handed;
}

void Exchange::gone() {
  const auto keep = self();
  client->handed();
  server->handed();
  setup_over({Result::cancelled, loop_.now() - sent_at}, true, {});
}

void Exchange::stands_at(const std::shared_ptr<Backend>& holder, Micros waited) {
  sent_at = loop_.now();
  if (waited > 0) asked_at_ = loop_.now() - waited;
  relay_.adopt(self(), holder);
}

// For the log: what most stood in the way, as far as can be told.
const char* Exchange::why_declined() const {
  if (relay_.retiring()) return "declined why=relay_ends";
  if (setups > 0) return "declined why=setups_failed";
  if (cold > full) return "declined why=cold_backends";
  return full > 0 ? "declined why=no_room" : "declined why=no_backend";
}

void Exchange::decline(Micros hold_off) {
  if (!client) return;
  std::array<char, 32> line{'B', 'U', 'S', 'Y', ' '};
  char* end = line.data() + 4;
  if (hold_off > 0)
    end = std::to_chars(line.data() + 5, line.data() + line.size(), (hold_off + 999) / 1000).ptr;
  client->finish({line.data(), static_cast<std::size_t>(end - line.data())}, why_declined());
}

void Exchange::close_with_error() {
  if (client) client->finish("ERR", "closed_with_error");
}

void Exchange::abandon() {
  if (!server) return;
  server->abandon();
  setup_over({Result::cancelled, loop_.now() - sent_at}, answered, {});
}

void Exchange::move() {
  if (!open || to_move_) return;
  if (between_lines_ || !client) return part();
  to_move_ = true;
  loop_.wake_at(loop_.now() + kLineEnds, [weak = weak_from_this()] {
    if (const auto tun = weak.lock(); tun && tun->open) static_cast<Exchange&>(*tun).part();
  });
}

void Exchange::last_call() {
  const auto keep = self();
  if (open) return move();
  relay_.give_up(*this);
  if (server) abandon();
}

void Exchange::part() {
  to_move_ = false;
  if (client) client->finish(between_lines_ ? "MOVE" : "", "moved");
  if (server) server->abandon();
  setup_over({Result::cancelled, loop_.now() - sent_at}, true, {});
}

}  // namespace cherryrail::net
