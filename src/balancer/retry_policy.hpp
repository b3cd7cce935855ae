// Decides whether an attempt may be retried, and how long an attempt may take.
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
        budget_minimum_(parameters.retry_budget_minimum), budget_ratio_(parameters.retry_budget_ratio) {}

  // Whether an attempt at this backend cannot take effect a second time. An attempt that may have taken
  // effect is retried only at backends that would recognise the duplicate, and only within the deduplication
  // window.
  bool is_safe(const Session& session, const Backend& backend) const;
  // Whether the client may be told that a retry is harmless: no attempt can have taken effect, or backends
  // would still recognise the duplicate.
  bool is_rejection_harmless(const Session& session) const;
  // Whether the retry budget allows the session's next attempt. In any window the budget is a fixed number of
  // retries plus a share of the sessions admitted; a first attempt does not use it. Every session may use the
  // first half, only sessions of at least mean priority the rest.
  bool is_within_budget(const Session& session) const;
  // The attempt latency objective, or longer while attempts at all backends take longer: timeouts at healthy
  // but slow backends would cause a retry storm. A pinned session cannot use another backend, so it waits
  // almost as long as its client does.
  Micros attempt_timeout(const Session& session) const;
  // The delay between a pinned session's failed attempt and its next one at the same backend.
  static Micros pinned_retry_delay(const Session& session);
  // The factor on the usual connect timeout for the session's next attempt. It grows with each failure of a
  // pinned session, which has no alternative while connections to its backend are slow.
  static unsigned connect_timeout_factor(const Session& session);

  // From now on only the successor spends the retry budget.
  void release_budget() {
    budget_minimum_ = 0;
    budget_ratio_ = 0;
  }

 private:
  // Whether backends recognise a duplicate at `retry_at` of an attempt that may have taken effect since
  // `first_run_since`.
  bool is_within_deduplication_window(const Session& session, Micros first_run_since, Micros retry_at) const;

  static constexpr double kTimeoutPerMeanDuration = 4;
  static constexpr Micros kPinnedAnswerMargin = kSecond / 50;
  static constexpr Micros kFirstPinnedRetryDelay = kSecond / 40;
  static constexpr unsigned kPinnedRetryDelayDoublings = 3;
  static constexpr unsigned kConnectTimeoutDoublings = 5;

  const BalancerActions& actions_;
  const BalancerParameters& parameters_;
  const AttemptStatistics& statistics_;
  double budget_minimum_;  // retries per window
  double budget_ratio_;    // retries per admitted session
};

}  // namespace cherryrail
