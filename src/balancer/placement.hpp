// Chooses the backend for a session: load-capped rendezvous hashing over the ready backends.
#pragma once

#include <cstddef>
#include <optional>

#include "balancer/capacity.hpp"
#include "balancer/fleet.hpp"
#include "balancer/fleet_load.hpp"
#include "balancer/latency_penalties.hpp"
#include "balancer/retry_policy.hpp"
#include "balancer/slow_start.hpp"

namespace cherryrail {

class Placement {
 public:
  Placement(const BalancerActions& actions, const BalancerParameters& parameters, const Fleet& fleet,
            const FleetLoadMeter& meter, const SlowStart& slow_start, const CapacityLimiter& capacity,
            const LatencyPenalties& penalties, const RetryPolicy& retry_policy)
      : actions_(actions), parameters_(parameters), fleet_(fleet), meter_(meter), slow_start_(slow_start),
        capacity_(capacity), penalties_(penalties), retry_policy_(retry_policy) {}

  // Measures the fleet, ranks its backends for the session and returns the best ranked backend under the load
  // cap; without one, the best ranked over the cap; without one, the best ranked that outlier detection
  // avoids. Null if the session may go to no backend.
  Backend* choose(Session& session);
  // Ranks all ready backends for the session and sets its preferred backend to the best ranked one.
  void rank(Session& session) const;
  // The fleet as measured by the latest choose().
  const FleetLoad& fleet_load() const { return fleet_load_; }

  // Places no further session: the relay is shutting down.
  void stop() { is_stopped_ = true; }
  bool is_stopped() const { return is_stopped_; }

 private:
  enum Tier : std::uint8_t { within_cap, over_cap, ejected, tier_count };

  struct Candidate {
    Backend* backend = nullptr;
    double rank = 0;
  };

  // Load caps, as multiples of the mean load per capacity.
  static constexpr double kCapFactor = 1.25;
  // In the local zone at low utilization; during overload, the maximum for any backend.
  static constexpr double kRelaxedCapFactor = 2;
  static constexpr double kMinCapSessions = 2;          // lowest cap, in sessions of mean load
  static constexpr double kMinBackendsForOverflow = 3;  // fewer cannot take over the load of a full one
  // Rank weight of a backend listed with capacity 0, relative to one of mean capacity.
  static constexpr double kZeroCapacityWeight = 0.01;
  // Extra capacity, in sessions, that the first session of a group must find free. A group costs a backend
  // more than its members do, so a backend that is short of capacity should rarely accept a new group.
  static constexpr double kNewGroupCost = 11;

  // Empty if the session may not go to the backend.
  std::optional<Tier> tier_of(Session& session, const Backend& backend, double load) const;
  // As a multiple of the session's load; 0 if the backend already holds the group.
  double new_group_cost(const Session& session, const Backend& backend) const;
  bool is_over_cap(const Backend& backend, double factor) const;
  // Whether capacity limits hold even for a backend under its load cap.
  bool is_capacity_strict() const;
  // When a large group reconnects at once, each of many relays sees one member, and together they would send
  // the whole group to the warming-up backend that ranks first. This function spreads the members over the
  // warming-up backends in rank order. Each backend's share is what it can hold of a group as large as the
  // whole load of a warm backend; the remaining members go to warm backends.
  void spread_group(Session& session) const;

  const BalancerActions& actions_;
  const BalancerParameters& parameters_;
  const Fleet& fleet_;
  const FleetLoadMeter& meter_;
  const SlowStart& slow_start_;
  const CapacityLimiter& capacity_;
  const LatencyPenalties& penalties_;
  const RetryPolicy& retry_policy_;
  FleetLoad fleet_load_;
  bool is_stopped_ = false;
};

}  // namespace cherryrail
