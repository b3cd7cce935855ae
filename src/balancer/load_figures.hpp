// The figures of one measurement of the fleet.
#pragma once

namespace cherryrail {

// Utilization that a backend may report: up to the first it is calm, from the second on full, past the third
// overloaded.
constexpr double kCalmUtilization = 0.5;
constexpr double kFullUtilization = 0.8;
constexpr double kOverloadUtilization = 0.9;

// What a capacity limit keeps of the load: where messages are past the shortest objective, and past twice the
// longest.
constexpr double kSlightReduction = 0.93;
constexpr double kDeepReduction = 0.7;  // the most at once

// Over the ready backends that are neither ejected nor late by themselves, where nothing else is said.
struct FleetLoad {
  double new_session_rate = 0;  // a microsecond, in the long run
  double ready_count = 0;       // backends
  double ready_capacity = 0;    // the sum of their sizes, by their slow-start factors
  double mean_size = 0;         // of a ready backend
  double sessions_per_backend = 0;
  double load_per_capacity = 0;  // what they hold for one unit of capacity
  double local_zone_weight = 1;  // of a backend in this relay's own zone
  double listed_capacity = 0;    // the sum of the sizes of all backends that are not gone
  double mean_utilization = 1;   // by their reports
  double capacity_left = 1;      // of what the lately overloaded held, the share that their limits allow
  bool is_any_overloaded = false;
  bool is_most_overloaded = false;  // of those that this relay knows anything of
};

}  // namespace cherryrail
