// Whether a session may be sent to another backend after an attempt, and how long an attempt may take.
#pragma once

#include "balancer/actions.hpp"
#include "balancer/attempt_statistics.hpp"
#include "balancer/parameters.hpp"

namespace cherryrail {

class RetryPolicy {
 public:
  RetryPolicy(const BalancerActions& actions, const BalancerParameters& parameters,
              const AttemptStatistics& statistics)
      : actions_(actions), parameters_(parameters), statistics_(statistics),
        minimum_(parameters.retry_budget_minimum), ratio_(parameters.retry_budget_ratio) {}

  // Whether an attempt at this backend could not take effect a second time. An attempt that may have taken
  // effect is repeated only where the repeat is recognised, and while it is.
  bool is_safe(const Session& session, const Backend& backend) const;
  // Whether a rejection would be true: nothing has happened, or doing it again does no harm.
  bool is_rejection_harmless(const Session& session) const;
  // The retry budget: in any window so many retries, and a share of the sessions admitted in it. A first
  // attempt needs none.
  // Half of the budget is for every session, the rest for those whose priority is at least the mean.
  bool is_within_budget(const Session& session) const;
  // The attempt latency objective, or longer while attempts everywhere take longer: a timeout that strikes
  // healthy backends would turn a slow spell into a retry storm.
  // A pinned session has nowhere else to go, and waits for as long as its client does.
  Micros attempt_timeout(const Session& session) const;
  // How long a pinned session waits after a failed attempt for the next one at the same backend.
  static Micros pinned_retry_delay(const Session& session);
  // How many times the usual connect timeout the session's next attempt has: a pinned session has no other
  // backend to turn to while connections to its own come up late.
  static unsigned connect_timeout_factor(const Session& session);

  // A successor spends the budget from now on.
  void give_up_budget() {
    minimum_ = 0;
    ratio_ = 0;
  }

 private:
  static constexpr double kTimeoutFactor = 4;  // times the mean duration of attempts
  static constexpr Micros kPinnedAnswerMargin = kSecond / 50;
  static constexpr Micros kFirstPinnedRetryDelay = kSecond / 40;
  static constexpr unsigned kPinnedRetryDelayDoublings = 3;
  static constexpr unsigned kConnectTimeoutDoublings = 5;

  const BalancerActions& actions_;
  const BalancerParameters& parameters_;
  const AttemptStatistics& statistics_;
  double minimum_;  // of the retry budget
  double ratio_;
};

}  // namespace cherryrail
