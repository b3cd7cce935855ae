// Schedules health checks: which backend is checked next, and when.
#pragma once

#include <cstddef>

#include "balancer/actions.hpp"
#include "balancer/capacity.hpp"
#include "balancer/fleet.hpp"
#include "balancer/outlier_detector.hpp"
#include "balancer/random_source.hpp"
#include "balancer/token_bucket.hpp"

namespace cherryrail {

// If many relays each checked every backend, the checks would cost more than they are worth. So each health
// check takes a token from a bucket. New sessions add tokens, and all relays together get one more per
// second. Suspected backends are checked first, and half of the bucket is reserved for them.
class HealthCheckScheduler {
 public:
  HealthCheckScheduler(BalancerActions& actions, const BalancerParameters& parameters, RandomSource& random,
                       const Fleet& fleet, const CapacityLimiter& capacity, const OutlierDetector& outliers)
      : actions_(actions), parameters_(parameters), fleet_(fleet), capacity_(capacity), outliers_(outliers),
        tokens_per_new_session_(kRevenueShare /
                                std::max(parameters.health_check_price, kRevenueShare / kMaxTokens)),
        next_index_(random.number() % kStartIndexRange), is_stopped_(!parameters.may_check_health) {}

  // Starts the health checks that are due, and schedules the next run.
  void run();
  void record_new_session();

  // From now on only the successor checks the backends.
  void stop() { is_stopped_ = true; }
  void save(StateSnapshot& snapshot) const { snapshot.health_check_tokens = tokens_.tokens(); }
  void restore(const StateSnapshot& snapshot) { tokens_.set(snapshot.health_check_tokens); }

 private:
  static constexpr double kRevenueShare = 0.002;  // of the sessions' value that health checks may cost
  static constexpr double kMaxTokens = 20;        // lasts while backends are suspected for a few seconds
  static constexpr double kInitialTokens = 4;
  static constexpr std::size_t kStartIndexRange = 1024;  // of the random index of the first backend checked
  static constexpr Micros kRoutineInterval = kSecond / 2;

  // Checks the backends that are due: the suspected ones, or else the other ones.
  void check_backends(bool suspected);
  bool is_suspected(const Backend& backend) const;
  // An ejected backend is checked at most once a second; otherwise a dead backend would take all tokens and
  // the others would not be checked.
  bool is_due(const Backend& backend, bool suspected, Micros now) const;

  BalancerActions& actions_;
  const BalancerParameters& parameters_;
  const Fleet& fleet_;
  const CapacityLimiter& capacity_;
  const OutlierDetector& outliers_;
  const double tokens_per_new_session_;
  TokenBucket tokens_{kMaxTokens, kInitialTokens};
  std::size_t next_index_;  // of the backend at which the next routine round starts
  bool is_stopped_;
};

}  // namespace cherryrail
