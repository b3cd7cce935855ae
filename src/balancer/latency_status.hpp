// Latency reports and the latency penalty of one backend.
#pragma once

#include <algorithm>

#include "balancer/time.hpp"

namespace cherryrail {

// A latency that a backend, or the network path to a zone, is expected to add for some time.
class LatencyPenalty {
 public:
  bool was_imposed() const { return duration_ > 0; }
  bool is_active(Micros now) const { return now < until_; }
  // 0 while it is not active.
  Micros latency(Micros now) const { return is_active(now) ? latency_ : 0; }
  // Whether the penalty ended so recently that a new one counts as a relapse.
  bool ended_recently(Micros now) const {
    return duration_ > 0 && now - until_ < kRelapsePeriodFactor * duration_;
  }
  // Imposes this latency from now on. The duration doubles with each relapse, up to a maximum.
  void impose(Micros latency, Micros now);
  void end(Micros now) { until_ = std::min(until_, now); }

 private:
  static constexpr Micros kRelapsePeriodFactor = 4;  // times the duration of the penalty that ended

  Micros latency_ = 0;
  Micros until_ = 0;
  Micros duration_ = 0;
};

class LatencyStatus {
 public:
  const LatencyPenalty& penalty() const { return penalty_; }
  // `is_similar`: the latency misses the objective and is close to the previously reported one.
  void record(Micros latency, bool is_similar, Micros now);
  void end_penalty(Micros now) { penalty_.end(now); }

 private:
  friend class LatencyOutlierDetector;

  LatencyPenalty penalty_;
  Micros reported_latency_ = 0;  // of messages, from the latest report
  Micros reported_at_ = 0;
  unsigned consecutive_similar_reports_ = 0;  // high latencies close to the previous one
};

}  // namespace cherryrail
