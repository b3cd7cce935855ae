// The figures of one measurement of the fleet, and the thresholds for load that several modules share.
#pragma once

namespace cherryrail {

// Thresholds for the utilization that a backend reports: below the first its load is low, above the second it
// is full, above the third it is overloaded.
constexpr double kLowUtilization = 0.5;
constexpr double kFullUtilization = 0.8;
constexpr double kOverloadUtilization = 0.9;

// The share of the load that a reduced capacity limit allows.
constexpr double kSlightReductionFactor = 0.93;  // message latency above the shortest objective
constexpr double kDeepReductionFactor = 0.7;     // above twice the longest; no reduction goes further at once

// Unless noted otherwise, over the ready backends that are neither ejected nor have a latency penalty.
struct FleetLoad {
  double new_session_rate = 0;  // per microsecond, long-term average
  double ready_count = 0;       // number of backends
  double ready_capacity = 0;    // sum of their relative capacities times their slow-start factors
  // Summed also over backends with a latency penalty, but divided by ready_count, which leaves them out.
  double mean_relative_capacity = 0;
  double sessions_per_backend = 0;
  double load_per_capacity = 0;  // load held per unit of capacity
  double local_zone_weight = 1;  // rendezvous weight of a backend in this relay's own zone
  double listed_capacity = 0;    // sum of the relative capacities of all backends that are not gone
  // Of the backends that reported one, clamped to kLowUtilization..kFullUtilization; kFullUtilization without
  // any report.
  double mean_utilization = 1;
  // Of the load that recently overloaded backends held, the share that their limits allow now.
  double capacity_left = 1;
  bool is_any_overloaded = false;
  bool is_most_overloaded = false;  // of the backends about which this relay has information
};

}  // namespace cherryrail
