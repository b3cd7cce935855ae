// The configuration with all values clamped to valid ranges, and values derived from it that several modules
// need.
#pragma once

#include "balancer/types.hpp"

namespace cherryrail {

// Constructed once from a BalancerConfig; shared by all modules of the balancer.
struct BalancerParameters : BalancerConfig {
  explicit BalancerParameters(const BalancerConfig& config);

  // How long a reduced capacity limit takes to return to the load that the backend held before.
  Micros capacity_recovery_time = 0;
  // An answer is sent this long before the client's timeout, so that it arrives in time.
  Micros answer_margin = 0;
  // Over all traffic classes. Latencies above the shortest objective count as slow.
  Micros shortest_attempt_objective = 10 * kSecond;
  Micros shortest_message_objective = 10 * kSecond;
  Micros longest_message_objective = 0;
  // The time over which a relay that shuts down spreads the migration of its sessions.
  Micros shutdown_duration = 0;
  double mean_priority_weight = 0;
};

}  // namespace cherryrail
