// Limits the load that this relay puts on each backend, based on observed overload.
#pragma once

#include <string>

#include "balancer/actions.hpp"
#include "balancer/fleet.hpp"
#include "balancer/load_figures.hpp"
#include "balancer/parameters.hpp"
#include "balancer/slow_start.hpp"

namespace cherryrail {

// Sessions dropped by an overloaded backend move to the others and may overload them in turn. Therefore
// overload reduces a backend's capacity limit, and sessions that fit within no limit are rejected. A limit
// recovers along a cubic curve, like the congestion window of TCP CUBIC. Without overload no limit applies.
class CapacityLimiter {
 public:
  CapacityLimiter(BalancerActions& actions, const BalancerParameters& parameters, const Fleet& fleet,
                  const SlowStart& slow_start)
      : actions_(actions), parameters_(parameters), fleet_(fleet), slow_start_(slow_start) {}

  // The load that this relay may put on the backend now; CapacityLimit::kUnlimited without a limit. A reduced
  // limit first grows quickly towards the load at overload, then slowly past it, then quickly again.
  double current(const Backend& backend) const;
  // Whether a session of this load fits beside the load `held`. If a single session exceeds the limit, a hash
  // draw decides, so that all relays accept and reject the same groups.
  bool fits(double held, double load, const Session& session, const Backend& backend) const;

  // Reduces an overloaded backend's limit to the given share of the load it holds; at most once in 0.9 s.
  void reduce(Backend& backend, double share);
  // The backend dropped a session. This is a sign of overload only if the backend has other recent failures:
  // single connections break everywhere, and if each counted as overload, all clients would soon be rejected.
  void record_drop(Backend& backend);
  // The backend reported a utilization that is not high, so its limit rises to at least the load that it held
  // when the report was taken. A burst of attempts delays messages only for a moment; without this, the
  // limits reduced because of it would reject clients for seconds.
  void record_spare_capacity(Backend& backend, double utilization);
  // Called when most known backends are overloaded. Limits the other backends to the load they hold, and
  // assumes that backends without sessions of this relay have as little capacity left as the known ones.
  // Otherwise all load shed by the overloaded backends would move to those whose limits are not reduced yet.
  void infer_from_others(const FleetLoad& fleet_load);
  // A latency outlier was mistaken for an overloaded backend: removes its limit, and those inferred for
  // others.
  void retract_overload_of(const Backend& outlier);

  // Reduced within the last 1.8 s: the overload may be continuing.
  bool was_reduced_recently(const Backend& backend) const;
  bool was_reduced_within(const Backend& backend, Micros time) const;
  // Reduced, and not yet back at the load held at that time.
  bool is_recovering(const Backend& backend) const;
  // Recently overloaded by evidence from the backend itself, not inferred from others.
  bool is_overload_witnessed(const Backend& backend) const;
  bool has_spare_capacity_report(const Backend& backend) const;

  // Whether most known backends are overloaded, or were found to be so a short while ago. `known` and
  // `overloaded` are numbers of backends. Needs a minimum of known backends: a relay that has just started
  // holds no sessions, and must not reject all clients after one report of overload.
  bool are_most_overloaded(double known, double overloaded) const;
  // Once most backends are found overloaded, this holds for the capacity recovery time, to avoid flapping.
  bool is_generally_overloaded() const { return actions_.now() < general_overload_until_; }
  bool was_generally_overloaded_within(Micros time) const;
  void save(StateSnapshot& snapshot) const { snapshot.general_overload_until = general_overload_until_; }
  void restore(const StateSnapshot& snapshot);

 private:
  // Lets a reduction take effect before the next one.
  static constexpr Micros kMinReductionInterval = 9 * kSecond / 10;
  static constexpr double kMinKnownBackends = 3;  // fewer say nothing about the fleet
  // Load, in mean sessions, taken off in addition: a relay with many sessions rounds up the load it sheds,
  // which a relay with one session cannot do.
  static constexpr double kRoundingReductionSessions = 0.1;
  static constexpr double kUnknownCapacityFactor = 0.5;  // of the capacity left at known backends

  BalancerActions& actions_;
  const BalancerParameters& parameters_;
  const Fleet& fleet_;
  const SlowStart& slow_start_;
  Micros general_overload_until_ = 0;
};

}  // namespace cherryrail
