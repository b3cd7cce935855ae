// Reacts to signs of overload: reduces capacity limits, and migrates sessions that exceed them.
#pragma once

#include <tuple>
#include <vector>

#include "balancer/capacity.hpp"
#include "balancer/fleet_load.hpp"
#include "balancer/migration_pool.hpp"
#include "balancer/placement.hpp"

namespace cherryrail {

class LoadShedder {
 public:
  LoadShedder(const BalancerParameters& parameters, const Fleet& fleet, const FleetLoadMeter& meter,
              CapacityLimiter& capacity, Placement& placement, MigrationPool& migration)
      : parameters_(parameters), fleet_(fleet), meter_(meter), capacity_(capacity), placement_(placement),
        migration_(migration) {}

  void record_load_report(Backend& backend, const LoadReport& report);
  // `latency` is that of a message on an established session.
  void record_message_latency(Backend& backend, Micros latency);

 private:
  // A session that may have to migrate. Sessions of tenants within their share are kept first, then those
  // that their preferred backend has no capacity for. Otherwise whole groups are kept together, large ones
  // first, in an order that is the same at every relay.
  struct Candidate {
    Session* session = nullptr;
    bool fits_at_preferred = false;  // its preferred backend is another one that has capacity for it
    std::tuple<bool, bool, double> retention_order;
  };

  // `share` is the part of the backend's load that its reduced limit allows.
  void handle_overload(Backend& backend, double share);
  void shed_excess_load(Backend& backend);
  // In the order in which they are kept.
  std::vector<Candidate> migration_candidates(Backend& backend) const;

  const BalancerParameters& parameters_;
  const Fleet& fleet_;
  const FleetLoadMeter& meter_;
  CapacityLimiter& capacity_;
  Placement& placement_;
  MigrationPool& migration_;
};

}  // namespace cherryrail
