// Slow start: how much a backend that warms up is sent, for the sum of all relays.
#pragma once

#include <cstdint>

#include "balancer/actions.hpp"
#include "balancer/arrivals.hpp"
#include "balancer/fleet.hpp"
#include "balancer/load_figures.hpp"
#include "balancer/parameters.hpp"

namespace cherryrail {

// Every relay sends a fresh backend a little, and together they may overload it. Relays do not talk to each
// other, so each keeps to its part by rules on which all agree.
//
// A session may go to the backend that it ranks first: over all relays that is right for the sum, and where
// reconnecting sessions would come to more, an agreed draw thins them. Every other session needs an admission
// slot: time since the backend's start is cut into windows, and in each as many relays have a slot as it
// bears sessions.
class SlowStart {
 public:
  SlowStart(const BalancerActions& actions, const BalancerParameters& parameters, const Fleet& fleet,
            const Arrivals& arrivals)
      : actions_(actions), parameters_(parameters), fleet_(fleet), arrivals_(arrivals),
        slots_from_(actions.now()) {}

  // The share of its full capacity that a backend surely has: from the initial factor up to 1, evenly over
  // the slow-start duration.
  double factor(const Backend& backend) const;
  // Whether the session may be sent to the backend, by the latest measurement of the fleet.
  bool may_admit(const Session& session, const Backend& backend, const FleetLoad& fleet_load) const;
  void record_attempt(Backend& backend) const;
  // What a warming-up backend is sent on purpose within an overload window, of its capacity of the moment.
  double planned_load_factor() const;

  // A successor has this relay's admission slots from now on.
  void give_up_slots();
  void save(StateSnapshot& snapshot) const { snapshot.admission_slots_from = slots_from_; }
  void restore(const StateSnapshot& snapshot);

 private:
  // Of the overload factor, all that is sent on purpose: the whole of it was measured to overload backends.
  static constexpr double kPlannedPart = 0.67;

  std::int64_t slot_number(const Backend& backend) const;
  // Reconnecting sessions: as many as would be borne were they all that is held. New ones: all or none.
  bool may_admit_to_preferred(const Session& session, const Backend& backend,
                              const FleetLoad& fleet_load) const;
  bool has_admission_slot(const Backend& backend, const FleetLoad& fleet_load) const;

  const BalancerActions& actions_;
  const BalancerParameters& parameters_;
  const Fleet& fleet_;
  const Arrivals& arrivals_;
  Micros slots_from_;  // a slot that began earlier belongs to this relay's predecessor, if to any
};

}  // namespace cherryrail
