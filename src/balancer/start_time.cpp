#include "balancer/start_time.hpp"

#include <algorithm>
#include <array>

namespace cherryrail {
namespace {

// Clocks of two machines that are kept alike differ by less; a start so little ahead was just now.
constexpr Micros kClockDifference = kSecond / 2;

}  // namespace

Micros local_start_time(Micros reported, Micros wall_clock_step, Micros now) {
  if (reported <= 0) return 0;
  Micros latest = 0;
  for (const Micros possible : std::array{reported, reported - wall_clock_step}) {
    if (possible <= now + kClockDifference) latest = std::max(latest, std::min(possible, now));
  }
  return latest > 0 ? latest : now;
}

}  // namespace cherryrail
