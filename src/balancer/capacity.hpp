// Learns from overload how much load this relay may put on each backend.
#pragma once

#include <string>

#include "balancer/actions.hpp"
#include "balancer/fleet.hpp"
#include "balancer/load_figures.hpp"
#include "balancer/parameters.hpp"
#include "balancer/slow_start.hpp"

namespace cherryrail {

// What an overloaded backend drops lands on its neighbours, until all drop. So overload reduces a backend's
// capacity limit; what fits into no limit is rejected. A limit returns as the window of TCP CUBIC does.
// Without overload there is no limit, and nothing here acts.
class CapacityLimiter {
 public:
  CapacityLimiter(BalancerActions& actions, const BalancerParameters& parameters, const Fleet& fleet,
                  const SlowStart& slow_start)
      : actions_(actions), parameters_(parameters), fleet_(fleet), slow_start_(slow_start) {}

  // The load that this relay may put on the backend now; CapacityLimit::kUnlimited without a limit.
  // Quickly back towards the load at overload, slowly past that, then out.
  double current(const Backend& backend) const;
  // Whether a session of this load fits beside `held`. Where one session is more than the limit, an agreed
  // draw decides, so that all relays keep and refuse the same groups.
  bool fits(double held, double load, const Session& session, const Backend& backend) const;

  // The backend is overloaded: its limit becomes the given share of what it holds. At most once in 0.9 s.
  void reduce(Backend& backend, double share);
  // The backend dropped something: overload, if it is not the only failure there lately.
  // Connections break singly, everywhere; each taken for overload would soon close the fleet to all.
  void record_drop(Backend& backend);
  // The backend reported a utilization that is not high: it bears what it held when the report was taken.
  // A rush of attempts makes messages late for a moment; limits reduced for it would reject clients for
  // seconds.
  void record_spare_capacity(Backend& backend, double utilization);
  // Most known backends are overloaded: the others keep what they hold, and the unknown are taken to have as
  // little capacity left as the known.
  // Else what the overloaded shed would rush to those whose limits are not reduced yet.
  void infer_from_others(const FleetLoad& fleet_load);
  // An outlier by its latency looked like overload: takes back what was concluded of it and of the others.
  void retract_overload_of(const Backend& outlier);

  // Reduced within 1.8 s: overload may still be going on.
  bool was_reduced_recently(const Backend& backend) const;
  bool was_reduced_within(const Backend& backend, Micros time) const;
  // Reduced, and not back yet at what it held then.
  bool is_recovering(const Backend& backend) const;
  // Overloaded lately, by this relay's own evidence.
  bool is_overload_witnessed(const Backend& backend) const;
  bool has_spare_capacity_report(const Backend& backend) const;

  // Whether most backends are, by those of which this relay knows anything, or by an earlier verdict. A relay
  // that has just started holds nothing: one report of overload must not close the fleet to all.
  bool are_most_overloaded(double known, double overloaded) const;
  // The verdict that most backends are overloaded stands for a while, so that it does not flap.
  bool is_generally_overloaded() const { return actions_.now() < general_overload_until_; }
  bool was_generally_overloaded_within(Micros time) const;
  void save(StateSnapshot& snapshot) const { snapshot.general_overload_until = general_overload_until_; }
  void restore(const StateSnapshot& snapshot);

 private:
  static constexpr Micros kReduceInterval = 9 * kSecond / 10;  // a second reduction sees what the first did
  static constexpr double kFewKnown = 3;                       // of fewer backends nothing is said of all
  static constexpr double kExtraReduction = 0.1;   // of a session: many round up what they shed, one cannot
  static constexpr double kUnknownCapacity = 0.5;  // of the known capacity left

  BalancerActions& actions_;
  const BalancerParameters& parameters_;
  const Fleet& fleet_;
  const SlowStart& slow_start_;
  Micros general_overload_until_ = 0;
};

}  // namespace cherryrail
