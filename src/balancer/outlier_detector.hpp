// Ejects backends that fail more than their peers, or do not answer at all, and lets them recover.
#pragma once

#include "balancer/capacity.hpp"
#include "balancer/migration_pool.hpp"

namespace cherryrail {

class OutlierDetector {
 public:
  OutlierDetector(BalancerActions& actions, const Fleet& fleet, const CapacityLimiter& capacity,
                  MigrationPool& migration)
      : actions_(actions), fleet_(fleet), capacity_(capacity), migration_(migration) {}

  // An attempt, a session or a health check ended well or badly. Wald's sequential test of "fails as its
  // peers do" against "fails by itself": when all fail together the cause is shared, and ejecting the unlucky
  // ones would overload the rest.
  void record_outcome(Backend& backend, bool is_success);
  // Nothing came back from the backend. After four times in a row, while others answer, it is ejected and its
  // sessions migrate.
  // A backend that stops responding breaks nothing: what it holds would hang until discovery says so.
  void record_no_response(Backend& backend);
  void restore(Backend& backend, const BackendSnapshot& snapshot);

  // Whether anything failed lately, anywhere.
  bool has_recent_failures() const { return failures_.sum(actions_.now()) > 0; }

 private:
  static constexpr double kOutlierFailureShare = 0.9;  // of what an outlier gets
  static constexpr double kEjectionLogOdds = 6.5;      // about 1 in 700 to eject a healthy backend
  static constexpr unsigned kSuccessesToRecover = 3;
  static constexpr unsigned kNoResponsesToEject = 4;
  static constexpr Micros kFirstRecoveryInterval = kSecond;
  static constexpr Micros kLongestRecoveryInterval = 5 * kSecond;

  // The share of failures at all other backends.
  double usual_failure_share(const Backend& backend) const;
  void record_recovery_outcome(Backend& backend, bool is_success);
  // Half of the fleet at most: rather one outlier in service than the rest overloaded.
  bool may_eject_another() const;
  void eject(Backend& backend);

  BalancerActions& actions_;
  const Fleet& fleet_;
  const CapacityLimiter& capacity_;
  MigrationPool& migration_;
  SlidingWindow successes_{kSecond};
  SlidingWindow failures_{kSecond};
};

}  // namespace cherryrail
