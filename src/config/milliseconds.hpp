// Conversion of durations: settings and wire messages use milliseconds, the code uses microseconds.
#pragma once

#include <cmath>

#include "balancer/time.hpp"

namespace cherryrail::config {

// Rounded to the nearest microsecond.
inline Micros micros_from_milliseconds(double milliseconds) { return std::llround(milliseconds * 1000); }

}  // namespace cherryrail::config
