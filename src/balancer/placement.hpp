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

  // The best ranked backend for the session: under the load cap; or else over it; or else an ejected one.
  // Null if the session may go to none. Measures the fleet and ranks its backends for the session.
  Backend* choose(Session& session);
  // Ranks all ready backends for the session and notes the first as its preferred one.
  void rank(Session& session) const;
  // The measurement of the latest choice.
  const FleetLoad& fleet_load() const { return fleet_load_; }

  // From now on nothing is placed: the relay shuts down.
  void stop() { is_stopped_ = true; }
  bool is_stopped() const { return is_stopped_; }

 private:
  enum Tier : std::uint8_t { within_cap, over_cap, ejected, tier_count };

  struct Candidate {
    Backend* backend = nullptr;
    double rank = 0;
  };

  static constexpr double kCapFactor = 1.25;   // of the mean load, as the design has it
  static constexpr double kWideCapFactor = 2;  // in the own zone while calm; during overload the most for any
  static constexpr double kCapFloor = 2;       // sessions; the design's floor
  static constexpr double kFewBackends = 3;    // too few to take over capacity for one that is full
  // Sessions' worth of capacity that the first of a group needs beyond its own: a group costs a backend more
  // than its members do, so where capacity is short it takes in no new one lightly.
  static constexpr double kNewGroupCost = 11;

  std::optional<Tier> tier_of(Session& session, const Backend& backend, double load) const;
  double new_group_cost(const Session& session, const Backend& backend) const;
  bool is_over_cap(const Backend& backend, double factor) const;
  bool is_capacity_strict() const;
  // A large group reconnects at once, at many relays that each know one of it, and the warming-up backend
  // that ranks first would get it all. So it is spread over the warming-up ones in its order, in parts that
  // one bears of a group as large as a warm backend's whole load; the rest goes to the warm.
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
