// Counts the sessions that arrive at this relay.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "balancer/sliding_window.hpp"
#include "balancer/state_snapshot.hpp"

namespace cherryrail {

class Arrivals {
 public:
  explicit Arrivals(Micros now) : counted_since_(now) {}

  void record_new_session() { ++new_sessions_; }
  void record_reconnect(Micros now) { reconnects_.add(now, 1); }

  // New sessions per microsecond since this relay, or the first of its predecessors, started. `grace` is
  // added to that time, so that the rate is not overestimated just after the start.
  double new_session_rate(Micros now, Micros grace) const {
    return static_cast<double>(new_sessions_) / static_cast<double>(now - counted_since_ + grace);
  }
  // Reconnecting sessions within the last `seconds`, at most eight.
  double recent_reconnects(Micros now, std::int64_t seconds) const { return reconnects_.sum(now, seconds); }

  void save(StateSnapshot& snapshot) const {
    snapshot.balancer_started_at = counted_since_;
    snapshot.new_sessions = new_sessions_;
  }
  void restore(const StateSnapshot& snapshot) {
    counted_since_ = std::min(counted_since_, snapshot.balancer_started_at);
    new_sessions_ += snapshot.new_sessions;
  }

 private:
  Micros counted_since_;
  std::size_t new_sessions_ = 0;
  SlidingWindow reconnects_{kSecond};
};

}  // namespace cherryrail
