// Converts start times reported by other machines to this process's monotonic clock. The wall clock may have
// been stepped since this process started.
#pragma once

#include "balancer/time.hpp"

namespace cherryrail {

// Converts the wall-clock start time `reported` to this process's own clock, which never jumps. 0 stands for
// a start long ago and stays 0. `wall_clock_step` is how far the wall clock has been stepped since this
// process started.
//
// It is unknown whether the start was before or after the step. The function considers both and returns the
// later possible time: if a warm backend is taken for a warming-up one, it gets less traffic for a while; the
// opposite error may overload it. If both times lie in the future, the result is `now`.
Micros local_start_time(Micros reported, Micros wall_clock_step, Micros now);

// Checks the converted start time of a backend whose start was not on the previous endpoint list.
// `current_until` is when this process last knew that list to be current; 0: never. A start that was missing
// from the list cannot be much older than that. If it seems to be, the wall clock was already wrong when this
// process started, and the result is `now`.
Micros validated_start_time(Micros local_start, Micros current_until, Micros now);

}  // namespace cherryrail
