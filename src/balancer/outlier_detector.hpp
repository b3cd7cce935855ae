// Ejects backends that fail more often than the others or are unresponsive, and readmits them on recovery.
#pragma once

#include "balancer/capacity.hpp"
#include "balancer/migration_pool.hpp"

namespace cherryrail {

class OutlierDetector {
 public:
  OutlierDetector(BalancerActions& actions, const Fleet& fleet, const CapacityLimiter& capacity,
                  MigrationPool& migration)
      : actions_(actions), fleet_(fleet), capacity_(capacity), migration_(migration) {}

  // Records the success or failure of an attempt, a session or a health check. Uses Wald's sequential
  // probability ratio test of "fails as often as the other backends" against "is an outlier": when all
  // backends fail together the cause is shared, and ejecting some of them would overload the rest.
  void record_outcome(Backend& backend, bool is_success);
  // Records that the backend did not respond at all. After four times in a row, while others respond, it is
  // ejected and its sessions migrate. An unresponsive backend closes no connection, so its sessions would
  // otherwise hang until discovery removes it.
  void record_no_response(Backend& backend);
  // Restores what the predecessor learned about the backend.
  void restore(Backend& backend, const BackendSnapshot& snapshot);

  // Whether any backend has failed within the last eight seconds.
  bool has_recent_failures() const { return failures_.sum(actions_.now()) > 0; }

 private:
  static constexpr double kOutlierFailureRate = 0.9;  // failures per outcome at an outlier
  // Assumed outcomes of the other backends, added to those seen: a peer failure rate of 2% without any.
  static constexpr double kPriorFailures = 0.04;
  static constexpr double kPriorSuccesses = 2;
  // Bounds of the peer failure rate; below the outliers' rate, so that a failure always raises the odds.
  static constexpr double kMinPeerFailureRate = 0.02;
  static constexpr double kMaxPeerFailureRate = 0.95 * kOutlierFailureRate;
  static constexpr double kEjectionLogOdds = 6.5;     // about 1 in 700 to eject a healthy backend
  static constexpr unsigned kSuccessesToRecover = 3;  // in a row
  static constexpr unsigned kNoResponsesToEject = 4;  // in a row
  static constexpr Micros kInitialRecoveryInterval = kSecond;
  static constexpr Micros kMaxRecoveryInterval = 5 * kSecond;

  // The share of outcomes at all other backends that are failures, within bounds.
  double peer_failure_rate(const Backend& backend) const;
  void record_recovery_outcome(Backend& backend, bool is_success);
  // At most half of the fleet is ejected: an outlier in service is better than an overload of the rest.
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
