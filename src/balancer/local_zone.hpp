// How strongly backends in this relay's own zone are preferred.
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
  double zones = 0;  // that have a backend in service
};

// A zone with few backends would drown in its own clients, and with few sessions held no cap shows it. So the
// own zone gets no more of them than its part of the fleet bears, were clients spread evenly over the zones.
class LocalZonePreference {
 public:
  LocalZonePreference(const BalancerActions& actions, const BalancerParameters& parameters,
                      const Fleet& fleet, const Arrivals& arrivals, const CapacityLimiter& capacity)
      : actions_(actions), parameters_(parameters), fleet_(fleet), arrivals_(arrivals), capacity_(capacity) {}

  // The rendezvous weight of a backend in the own zone, against one in another.
  double weight(const ZoneCapacity& capacity) const;

 private:
  static constexpr double kHighestWeight = 8;
  // Sessions that reconnect within two seconds, in eighths of those held: more is a reconnect storm. Clients
  // of other zones come in a storm and after general overload, and the own zone cannot bear them all.
  static constexpr double kStormRatio = 8;
  static constexpr double kMostClients = 0.99;  // of a zone's own, that it is taken to bear

  const BalancerActions& actions_;
  const BalancerParameters& parameters_;
  const Fleet& fleet_;
  const Arrivals& arrivals_;
  const CapacityLimiter& capacity_;
};

}  // namespace cherryrail
