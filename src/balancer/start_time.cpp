#include "balancer/start_time.hpp"

#include <algorithm>
#include <array>

namespace cherryrail {
namespace {

// Clocks of two machines that are kept alike differ by less; a start so little ahead was just now.
constexpr Micros kClockDifference = kSecond / 2;

// Lists are seconds late; no discovery that is known is later than this.
constexpr Micros kLongestListDelay = 20 * kSecond;

}  // namespace

Micros local_start_time(Micros reported, Micros wall_clock_step, Micros now) {
  if (reported <= 0) return 0;
  Micros latest = 0;
  for (const Micros possible : std::array{reported, reported - wall_clock_step}) {
    if (possible <= now + kClockDifference) latest = std::max(latest, std::min(possible, now));
  }
  return latest > 0 ? latest : now;
}

Micros validated_start_time(Micros local_start, Micros current_until, Micros now) {
  const bool is_impossible =
      local_start > 0 && current_until > 0 && local_start < current_until - kLongestListDelay;
  return is_impossible ? now : local_start;
}

}  // namespace cherryrail
