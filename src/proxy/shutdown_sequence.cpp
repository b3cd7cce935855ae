#include "proxy/shutdown_sequence.hpp"

#include <algorithm>
#include <utility>

namespace cherryrail::proxy {
namespace {

// How long clients still arrive after the shutdown began, until the platform has noticed it.
constexpr Micros kClientArrivalPeriod = 45 * kSecond / 100;
// The longest time that the platform grants for clients' requests to be answered, whatever their timeouts.
constexpr Micros kMaxClientWait = 3 * kSecond;
// After the wait for clients, the sessions that are left are answered or migrated within this time. The
// process has to end within 0.7 s after the wait, although it may be held up for 0.15 s.
constexpr Micros kFinalAnswerTime = 7 * kSecond / 20;
// No session may be open for this long before the process stops, so that clients can read their last lines.
constexpr Micros kEmptyPeriod = kSecond / 4;
constexpr Micros kCheckInterval = kEmptyPeriod / 10;
// The time to send the last lines, and to finish a line that has begun.
constexpr Micros kFlushTime = kSecond / 10;
// The part of kFlushTime that the answer to the last accepted client needs.
constexpr Micros kLastClientAnswerTime = kFlushTime / 5;

}  // namespace

ShutdownSequence::ShutdownSequence(net::EventLoop& event_loop, DownstreamListener& downstream,
                                   bool has_successor, Micros longest_client_timeout)
    : event_loop_(event_loop), downstream_(downstream), has_successor_(has_successor),
      longest_client_timeout_(longest_client_timeout) {}

void ShutdownSequence::begin() {
  has_begun_ = true;
  begun_at_ = event_loop_.now();
}

Micros ShutdownSequence::client_deadline() const {
  return begun_at_ + std::min(longest_client_timeout_, kMaxClientWait);
}

// While the platform still routes clients to this process, a migrated client may reconnect to it and be
// rejected.
void ShutdownSequence::call_after_client_arrivals(std::function<void()> migrate) {
  timer_ = net::Timer(event_loop_, event_loop_.now() + kClientArrivalPeriod, std::move(migrate));
}

void ShutdownSequence::stop_when_empty() { schedule_check(event_loop_.now()); }

void ShutdownSequence::schedule_check(Micros empty_since) {
  timer_ = net::Timer(event_loop_, event_loop_.now() + kCheckInterval,
                      [this, empty_since] { check(empty_since); });
}

// The platform does not wait for a slow client, an unresponsive backend or a session that is still migrating,
// so the process stops at the deadline even if sessions are left.
void ShutdownSequence::check(Micros empty_since) {
  const Micros now = event_loop_.now();
  const Micros deadline = client_deadline() + kFinalAnswerTime;
  const bool is_busy = downstream_.session_count() > 0 || downstream_.has_partial_requests();
  if (now < deadline && is_busy) {
    schedule_check(now);
  } else if (now < deadline && now - empty_since < kEmptyPeriod) {
    schedule_check(empty_since);
  } else {
    stop();
  }
}

void ShutdownSequence::stop() {
  const Micros quit_at = event_loop_.now() + kFlushTime;
  downstream_.shut_down(has_successor_, quit_at - kLastClientAnswerTime);
  timer_ = net::Timer(event_loop_, quit_at, [this] {
    const bool is_timeout = downstream_.session_count() > 0;
    event_loop_.log().write(net::Topic::lifecycle, "stopping: {}",
                            is_timeout ? "shutdown timeout" : "no session left");
    event_loop_.quit();
  });
}

}  // namespace cherryrail::proxy
