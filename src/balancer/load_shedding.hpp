// Answers signs of overload: reduces capacity limits, and migrates what is over them.
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
  // A message on an established session took so long.
  void record_message_latency(Backend& backend, Micros latency);

 private:
  // A session that may have to migrate. Those stay first whose tenant is within its share; that their
  // preferred backend would not take in; then whole groups, large ones first, by an order on which all relays
  // agree.
  struct Candidate {
    Session* session = nullptr;
    bool is_foreign = false;  // its preferred backend would take it in
    std::tuple<bool, bool, double> stays_by;
  };

  void handle_overload(Backend& backend, double share);
  void shed_excess_load(Backend& backend);
  // In the order in which they stay.
  std::vector<Candidate> migration_candidates(Backend& backend) const;

  const BalancerParameters& parameters_;
  const Fleet& fleet_;
  const FleetLoadMeter& meter_;
  CapacityLimiter& capacity_;
  Placement& placement_;
  MigrationPool& migration_;
};

}  // namespace cherryrail
