// Decides which backend gets the next health check, and when.
#pragma once

#include <cstddef>

#include "balancer/actions.hpp"
#include "balancer/capacity.hpp"
#include "balancer/fleet.hpp"
#include "balancer/outlier_detector.hpp"
#include "balancer/random_source.hpp"
#include "balancer/token_bucket.hpp"

namespace cherryrail {

// Many relays that each check every backend cost more than they learn. So a health check costs a token; new
// sessions bring in tokens, all relays together get one a second beside. Backends in doubt come first, and
// half of the bucket is theirs alone.
class HealthCheckScheduler {
 public:
  HealthCheckScheduler(BalancerActions& actions, const BalancerParameters& parameters, RandomSource& random,
                       const Fleet& fleet, const CapacityLimiter& capacity, const OutlierDetector& outliers)
      : actions_(actions), parameters_(parameters), fleet_(fleet), capacity_(capacity), outliers_(outliers),
        tokens_per_new_session_(kSpentPart /
                                std::max(parameters.health_check_price, kSpentPart / kMostTokens)),
        round_from_(random.number() % kFirstBackends), is_stopped_(!parameters.may_check_health) {}

  // Starts what is due, and goes on doing so.
  void run();
  void record_new_session();

  // A successor checks the backends from now on.
  void stop() { is_stopped_ = true; }
  void save(StateSnapshot& snapshot) const { snapshot.health_check_tokens = tokens_.tokens(); }
  void restore(const StateSnapshot& snapshot) { tokens_.set(snapshot.health_check_tokens); }

 private:
  static constexpr double kSpentPart = 0.002;  // of what sessions earn, on health checks
  static constexpr double kMostTokens = 20;    // a few seconds of doubt
  static constexpr double kFirstTokens = 4;
  static constexpr std::size_t kFirstBackends = 1024;  // to draw from where the round begins
  static constexpr Micros kRoutineInterval = kSecond / 2;

  void check_backends(bool in_doubt);
  bool is_in_doubt(const Backend& backend) const;
  // An ejected backend is checked once a second, or a dead one would take all tokens while the living go
  // unseen.
  bool is_due(const Backend& backend, bool in_doubt, Micros now) const;

  BalancerActions& actions_;
  const BalancerParameters& parameters_;
  const Fleet& fleet_;
  const CapacityLimiter& capacity_;
  const OutlierDetector& outliers_;
  const double tokens_per_new_session_;
  TokenBucket tokens_{kMostTokens, kFirstTokens};
  std::size_t round_from_;  // index of the backend at which the next routine round begins
  bool is_stopped_;
};

}  // namespace cherryrail
