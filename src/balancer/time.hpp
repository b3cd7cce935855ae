// The unit of time of the whole program.
#pragma once

#include <cstdint>

namespace cherryrail {

// Whole microseconds: a point on the caller's clock, or a duration.
using Micros = std::int64_t;

}  // namespace cherryrail
