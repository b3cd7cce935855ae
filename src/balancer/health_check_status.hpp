// State of one backend's latest health check: whether it is pending, and when it started.
#pragma once

#include "balancer/time.hpp"

namespace cherryrail {

class HealthCheckStatus {
 public:
  bool is_pending() const { return is_pending_; }
  Micros started_at() const { return started_at_; }
  void start(Micros now) {
    is_pending_ = true;
    started_at_ = now;
  }
  void end() { is_pending_ = false; }

 private:
  bool is_pending_ = false;
  Micros started_at_ = 0;
};

}  // namespace cherryrail
