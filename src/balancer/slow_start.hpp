// Slow start: limits the load that all relays together send to a backend that is warming up.
#pragma once

#include <cstdint>

#include "balancer/actions.hpp"
#include "balancer/arrivals.hpp"
#include "balancer/fleet.hpp"
#include "balancer/load_figures.hpp"
#include "balancer/parameters.hpp"

namespace cherryrail {

// If every relay sent a new backend a little load, they might overload it together. Relays do not
// communicate, so each derives its own share from rules that are the same at every relay.
//
// A session may go to its preferred backend, since weighted ranking gives the backend the right share
// of all relays' sessions. If reconnecting sessions would exceed that share, a hash draw that is the same at
// every relay holds some of them back. Any other session needs an admission slot: the time since the
// backend's start is divided into windows, and in each window as many relays have a slot as the backend can
// accept sessions.
class SlowStart {
 public:
  SlowStart(const BalancerActions& actions, const BalancerParameters& parameters, const Fleet& fleet,
            const Arrivals& arrivals)
      : actions_(actions), parameters_(parameters), fleet_(fleet), arrivals_(arrivals),
        slots_from_(actions.now()) {}

  // The share of its full capacity that a backend can be relied on to have: rises linearly from the initial
  // factor to 1 over the slow-start duration.
  double factor(const Backend& backend) const;
  // Whether the session may be sent to the backend, given the latest measurement of the fleet.
  bool may_admit(const Session& session, const Backend& backend, const FleetLoad& fleet_load) const;
  // Counts an attempt against the backend's current admission slot.
  void record_attempt(Backend& backend) const;
  // The load that all relays together plan to send to a warming-up backend within one overload window, as a
  // share of its current capacity.
  double planned_load_factor() const;

  // From now on may_admit() allows no session to a backend that is warming up; only the successor's does.
  void release_slots();
  void save(StateSnapshot& snapshot) const { snapshot.admission_slots_from = slots_from_; }
  void restore(const StateSnapshot& snapshot);

 private:
  // Share of the overload factor up to which load is planned; planning all of it overloaded backends.
  static constexpr double kPlannedLoadRatio = 0.67;
  static constexpr double kMinFleetCapacity = 1e-9;  // avoids a division by zero

  std::int64_t slot_number(const Backend& backend) const;
  // Admits as many reconnecting sessions as the backend could hold if it held nothing else. Admits either all
  // new sessions or none.
  bool may_admit_to_preferred(const Session& session, const Backend& backend,
                              const FleetLoad& fleet_load) const;
  bool has_admission_slot(const Backend& backend, const FleetLoad& fleet_load) const;

  const BalancerActions& actions_;
  const BalancerParameters& parameters_;
  const Fleet& fleet_;
  const Arrivals& arrivals_;
  Micros slots_from_;  // slots that began earlier may have been used by this relay's predecessor
};

}  // namespace cherryrail
