// The unit of time of the whole program, and the identity of a scheduled call.
#pragma once

#include <cstdint>

namespace cherryrail {

// Whole microseconds: a point on the caller's clock, or a duration.
using Micros = std::int64_t;

constexpr Micros kMillisecond = 1'000;
constexpr Micros kSecond = 1'000'000;

// Identifies a scheduled call, so that it can be cancelled. Unique for its scheduler; ordered by due time,
// and by the order of scheduling among equal times. The default value identifies no call.
struct TimerId {
  Micros due = 0;
  std::uint64_t sequence = 0;

  bool operator<(const TimerId& other) const {
    return due != other.due ? due < other.due : sequence < other.sequence;
  }
};

}  // namespace cherryrail
