// How late messages through one backend are, whatever its load.
#pragma once

#include <algorithm>

#include "balancer/time.hpp"

namespace cherryrail {

// A latency that is expected of a backend, or of the path to a zone, for some time.
class LatencyPenalty {
 public:
  bool was_imposed() const { return duration_ > 0; }
  bool is_active(Micros now) const { return now < until_; }
  // 0 while it is not active.
  Micros latency(Micros now) const { return is_active(now) ? latency_ : 0; }
  // Ended a short while ago: what is seen now may be a relapse.
  bool ended_recently(Micros now) const { return duration_ > 0 && now - until_ < 4 * duration_; }
  // Expects this latency from now on; twice as long at each relapse.
  void impose(Micros latency, Micros now);
  void end(Micros now) { until_ = std::min(until_, now); }

 private:
  Micros latency_ = 0;
  Micros until_ = 0;
  Micros duration_ = 0;
};

class LatencyStatus {
 public:
  const LatencyPenalty& penalty() const { return penalty_; }
  // A late report is similar if it hardly differs from the one before.
  void record(Micros latency, bool is_similar, Micros now);
  void end_penalty(Micros now) { penalty_.end(now); }

 private:
  friend class LatencyOutlierDetector;

  LatencyPenalty penalty_;
  Micros reported_latency_ = 0;  // of messages, as reported last
  Micros reported_at_ = 0;
  unsigned similar_in_a_row_ = 0;  // late reports that hardly differ
};

}  // namespace cherryrail
