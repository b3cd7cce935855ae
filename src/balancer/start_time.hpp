// Times that other machines state, on a wall clock that may have been stepped since this process started.
#pragma once

#include "balancer/time.hpp"

namespace cherryrail {

// When something started by this process's own clock, which never jumps, if that is stated as `reported` by
// the wall clock: 0, and it started long ago, stays 0. `wall_clock_step` is how far the wall clock has been
// stepped since this process started.
//
// Whether it started before the step or after is not known, so both are considered, and of those that are
// possible the later one is taken: to take a backend for colder than it is costs some traffic for a while, to
// take it for warmer may overload it. What would lie in the future has started just now.
Micros local_start_time(Micros reported, Micros wall_clock_step, Micros now);

// The same for a start that is news. `current_until` is when this process last knew that its endpoint list
// was current, 0 if it never did: a start that was not on that list cannot lie far before. If it seems to,
// the wall clock was wrong already when this process started, and the backend counts as started now.
Micros validated_start_time(Micros local_start, Micros current_until, Micros now);

}  // namespace cherryrail
