// The load that this relay may put on one backend, limited after overload.
#pragma once

#include "balancer/state_snapshot.hpp"
#include "balancer/time.hpp"

namespace cherryrail {

class CapacityLimit {
 public:
  static constexpr double kUnlimited = 1e300;

  bool is_limited() const { return limit_ < kUnlimited; }
  double load_at_overload() const { return load_at_overload_; }

  void remove() { limit_ = kUnlimited; }
  void save(BackendSnapshot& snapshot) const;
  void restore(const BackendSnapshot& snapshot);

 private:
  friend class CapacityLimiter;

  double limit_ = kUnlimited;    // as of reduced_at_; recovers from there
  double load_at_overload_ = 0;  // held by the backend when overload began
  Micros reduced_at_ = 0;
  Micros spare_capacity_reported_at_ = 0;  // latest report of a utilization that is not high
  bool is_inferred_ = false;               // from other backends' overload, without evidence from this one
};

}  // namespace cherryrail
