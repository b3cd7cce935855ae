// Identifies a scheduled call, so that it can be cancelled.
#pragma once

#include <cstdint>

#include "balancer/time.hpp"

namespace cherryrail {

// Unique for its scheduler. Ordered by due time, and by the order of scheduling among equal times. The
// default value identifies no call.
struct TimerId {
  Micros due = 0;
  std::uint64_t sequence = 0;

  bool operator<(const TimerId& other) const {
    return due != other.due ? due < other.due : sequence < other.sequence;
  }
};

}  // namespace cherryrail
