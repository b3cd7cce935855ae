// Determines how strongly backends in this relay's own zone are preferred.
#pragma once

#include "balancer/actions.hpp"
#include "balancer/arrivals.hpp"
#include "balancer/capacity.hpp"
#include "balancer/fleet.hpp"
#include "balancer/parameters.hpp"

namespace cherryrail {

// The capacity of the backends in service, by zone.
struct ZoneCapacity {
  double total = 0;
  double local = 0;  // in this relay's own zone
  double zones = 0;  // number of zones that have a backend in service
};

// A zone with few backends could be overloaded by its own clients alone, and while few sessions are held,
// load caps do not prevent this. The weight therefore gives the local zone no more of its clients than its
// share of the fleet's capacity can hold, assuming that clients are spread evenly over the zones.
class LocalZonePreference {
 public:
  LocalZonePreference(const BalancerActions& actions, const BalancerParameters& parameters,
                      const Fleet& fleet, const Arrivals& arrivals, const CapacityLimiter& capacity)
      : actions_(actions), parameters_(parameters), fleet_(fleet), arrivals_(arrivals), capacity_(capacity) {}

  // The rendezvous weight of a backend in the local zone relative to one in another zone; 1 for no
  // preference.
  double weight(const ZoneCapacity& capacity) const;

 private:
  static constexpr double kMaxWeight = 8;
  // More reconnects within two seconds than this fraction (1/8) of the sessions held are a reconnect storm.
  // In a storm and after general overload, clients of other zones arrive, too many for the local zone's
  // backends.
  static constexpr double kStormDivisor = 8;
  static constexpr double kMaxLocalClientShare = 0.99;  // of a zone's own clients that it serves

  const BalancerActions& actions_;
  const BalancerParameters& parameters_;
  const Fleet& fleet_;
  const Arrivals& arrivals_;
  const CapacityLimiter& capacity_;
};

}  // namespace cherryrail
