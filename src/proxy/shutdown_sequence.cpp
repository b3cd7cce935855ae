#include "proxy/shutdown_sequence.hpp"

#include <algorithm>
#include <utility>

namespace cherryrail::proxy {
namespace {

constexpr Micros kSecond = 1'000'000;
// How long clients still come after the relay is told to stop: the platform has to hear of it first.
constexpr Micros kArrivalsAfterStop = 45 * kSecond / 100;
// The platform waits so long for a relay to stop, however long the clients would.
constexpr Micros kMaxWaitForClients = 3 * kSecond;
// After that wait, the sessions that are left are answered or migrated within this time. The process may be
// held up for 0.15 s and has to end within 0.7 s.
constexpr Micros kFinalAnswers = 7 * kSecond / 20;
// No session must have been seen for so long: the clients have yet to read their last lines.
constexpr Micros kEmptyPeriod = kSecond / 4;
constexpr Micros kCheckInterval = kEmptyPeriod / 10;
// How long the last lines have to go out, and a line that has begun to end.
constexpr Micros kFlushTime = kSecond / 10;
// Of that, what the answer to the last client that is accepted needs.
constexpr Micros kLastAnswerTime = kFlushTime / 5;

}  // namespace

ShutdownSequence::ShutdownSequence(net::EventLoop& event_loop, DownstreamListener& downstream,
                                   bool has_successor, Micros longest_client_timeout)
    : event_loop_(event_loop), downstream_(downstream), has_successor_(has_successor),
      longest_client_timeout_(longest_client_timeout) {}

void ShutdownSequence::begin() {
  has_begun_ = true;
  begun_at_ = event_loop_.now();
}

// While clients are still sent here, one that is migrated at once may come straight back and be rejected.
void ShutdownSequence::call_once_clients_stay_away(std::function<void()> migrate) {
  event_loop_.call_at(event_loop_.now() + kArrivalsAfterStop, std::move(migrate));
}

void ShutdownSequence::stop_when_empty() { check_again(event_loop_.now()); }

void ShutdownSequence::check_again(Micros empty_since) {
  event_loop_.call_at(event_loop_.now() + kCheckInterval, [this, empty_since] { check(empty_since); });
}

// The platform waits for no client that is slow, no backend that hangs and no session that is migrating.
void ShutdownSequence::check(Micros empty_since) {
  const Micros now = event_loop_.now();
  const Micros latest = begun_at_ + std::min(longest_client_timeout_, kMaxWaitForClients) + kFinalAnswers;
  const bool is_busy = downstream_.session_count() > 0 || downstream_.has_partial_requests();
  if (now < latest && is_busy) {
    check_again(now);
  } else if (now < latest && now - empty_since < kEmptyPeriod) {
    check_again(empty_since);
  } else {
    stop();
  }
}

void ShutdownSequence::stop() {
  const Micros quit_at = event_loop_.now() + kFlushTime;
  downstream_.shut_down(has_successor_, quit_at - kLastAnswerTime);
  event_loop_.call_at(quit_at, [this] {
    const bool is_timeout = downstream_.session_count() > 0;
    event_loop_.log().write(net::Topic::lifecycle, "stopping: {}",
                            is_timeout ? "shutdown timeout" : "no session left");
    event_loop_.quit();
  });
}

}  // namespace cherryrail::proxy
