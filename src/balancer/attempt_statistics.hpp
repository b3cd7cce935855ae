// Statistics on admissions, retries and the duration of attempts, used by RetryPolicy.
#pragma once

#include <cstdint>

#include "balancer/actions.hpp"
#include "balancer/parameters.hpp"
#include "balancer/sliding_window.hpp"

namespace cherryrail {

// Admissions are counted over slightly less than the retry budget's window and retries over slightly more, so
// that inexact windows never allow more retries than the budget.
class AttemptStatistics {
 public:
  AttemptStatistics(const BalancerActions& actions, const BalancerParameters& parameters)
      : actions_(actions), admissions_(parameters.retry_budget_window / kAdmissionBucketsPerWindow),
        retries_(parameters.retry_budget_window / kRetryBucketsPerWindow) {}

  void record_admission();
  // Records the attempt that the session has just started.
  void record_attempt(const Session& session);
  // The session's latest attempt was never sent; if it was a retry, it no longer counts against the budget.
  void return_attempt(const Session& session);
  void record_duration(Micros duration);

  // Counts within the retry budget's window.
  double admissions() const;
  double retries() const;
  // `factor` times the mean duration over the last eight seconds, in microseconds; 0 if no attempt ended.
  double mean_duration(double factor) const;

  void save(StateSnapshot& snapshot) const { snapshot.recent_retries = retries(); }
  void restore(const StateSnapshot& snapshot) { retries_.add(actions_.now(), snapshot.recent_retries); }

 private:
  static constexpr Micros kAdmissionBucketsPerWindow = 63;
  static constexpr std::int64_t kAdmissionBucketsCounted = 62;
  static constexpr Micros kRetryBucketsPerWindow = 62;  // while all 64 are counted

  const BalancerActions& actions_;
  SlidingWindowOf<64> admissions_;
  SlidingWindowOf<64> retries_;
  SlidingWindow ended_attempts_{kSecond};
  SlidingWindow durations_{kSecond};
};

}  // namespace cherryrail
