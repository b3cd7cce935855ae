#include "balancer/start_time.hpp"

#include <algorithm>
#include <array>

namespace cherryrail {
namespace {

// Synchronized clocks of two machines differ by less. A start at most this far in the future counts as now.
constexpr Micros kMaxClockSkew = kSecond / 2;

// Upper bound for the age of an endpoint list; lists are usually seconds old.
constexpr Micros kMaxListDelay = 20 * kSecond;

}  // namespace

Micros local_start_time(Micros reported, Micros wall_clock_step, Micros now) {
  if (reported <= 0) return 0;
  Micros latest = 0;
  for (const Micros possible : std::array{reported, reported - wall_clock_step}) {
    if (possible <= now + kMaxClockSkew) latest = std::max(latest, std::min(possible, now));
  }
  return latest > 0 ? latest : now;
}

Micros validated_start_time(Micros local_start, Micros current_until, Micros now) {
  const bool is_impossible =
      local_start > 0 && current_until > 0 && local_start < current_until - kMaxListDelay;
  return is_impossible ? now : local_start;
}

}  // namespace cherryrail
