// The configuration with its limits applied, and the figures derived from it that several modules need.
#pragma once

#include "balancer/types.hpp"

namespace cherryrail {

// Made once from a BalancerConfig; read by every module of the balancer.
struct BalancerParameters : BalancerConfig {
  explicit BalancerParameters(const BalancerConfig& config);

  // How long a reduced capacity limit takes to return to what the backend held when it was reduced.
  Micros capacity_recovery_time = 0;
  // An answer leaves this long before the client's timeout, so that it arrives in time.
  Micros answer_margin = 0;
  // The shortest over all traffic classes: how soon something counts as late.
  Micros shortest_attempt_objective = 10 * kSecond;
  Micros shortest_message_objective = 10 * kSecond;
  Micros longest_message_objective = 0;
  // Over how long a relay that shuts down spreads the migration of its sessions.
  Micros shutdown_duration = 0;
  double mean_priority_weight = 0;
};

}  // namespace cherryrail
