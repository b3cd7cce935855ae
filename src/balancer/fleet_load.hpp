// Measures the total load and capacity of the ready backends, anew for each placement.
#pragma once

#include <vector>

#include "balancer/actions.hpp"
#include "balancer/arrivals.hpp"
#include "balancer/capacity.hpp"
#include "balancer/fleet.hpp"
#include "balancer/latency_penalties.hpp"
#include "balancer/local_zone.hpp"
#include "balancer/parameters.hpp"
#include "balancer/slow_start.hpp"

namespace cherryrail {

// Computes the figures of FleetLoad, including whether backends are overloaded and the weight of the local
// zone.
class FleetLoadMeter {
 public:
  FleetLoadMeter(const BalancerActions& actions, const BalancerParameters& parameters, const Fleet& fleet,
                 const Arrivals& arrivals, const SlowStart& slow_start, const CapacityLimiter& capacity,
                 const LatencyPenalties& penalties, const LocalZonePreference& local_zone)
      : actions_(actions), parameters_(parameters), fleet_(fleet), arrivals_(arrivals),
        slow_start_(slow_start), capacity_(capacity), penalties_(penalties), local_zone_(local_zone) {}

  FleetLoad measure() const;

 private:
  struct Sums;

  void add(const Backend& backend, FleetLoad& load, Sums& sums) const;
  // Adds a backend that is in service and has no latency penalty.
  void add_without_penalty(const Backend& backend, double capacity, FleetLoad& load, Sums& sums) const;

  const BalancerActions& actions_;
  const BalancerParameters& parameters_;
  const Fleet& fleet_;
  const Arrivals& arrivals_;
  const SlowStart& slow_start_;
  const CapacityLimiter& capacity_;
  const LatencyPenalties& penalties_;
  const LocalZonePreference& local_zone_;
  mutable std::vector<bool> zones_seen_;  // a member, to avoid an allocation for each measurement
};

}  // namespace cherryrail
