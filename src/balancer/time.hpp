// The unit of time of the whole program.
#pragma once

#include <cstdint>

namespace cherryrail {

// Whole microseconds: a point on the caller's clock, or a duration.
using Micros = std::int64_t;

constexpr Micros kMillisecond = 1'000;
constexpr Micros kSecond = 1'000'000;

}  // namespace cherryrail
