// Counts of admissions, retries and attempts, and how long attempts take.
#pragma once

#include <cstdint>

#include "balancer/actions.hpp"
#include "balancer/parameters.hpp"
#include "balancer/sliding_window.hpp"

namespace cherryrail {

// Counted, for RetryPolicy to decide by. Admissions are counted a little shorter than the retry budget's
// window and retries a little longer, so that the budget errs on the safe side.
class AttemptStatistics {
 public:
  AttemptStatistics(const BalancerActions& actions, const BalancerParameters& parameters)
      : actions_(actions), admissions_(parameters.retry_budget_window / kAdmissionBucketsPerWindow),
        retries_(parameters.retry_budget_window / kRetryBucketsPerWindow) {}

  void record_admission();
  // The attempt that the session has just begun.
  void record_attempt(const Session& session);
  // The session's latest attempt was never sent: if it was a retry, it is back in the budget.
  void return_attempt(const Session& session);
  void record_duration(Micros duration);

  // Within the retry budget's window.
  double admissions() const;
  double retries() const;
  // `factor` times the mean of the latest eight seconds, in microseconds; 0 where no attempt ended.
  double mean_duration(double factor) const;

  void save(StateSnapshot& snapshot) const { snapshot.recent_retries = retries(); }
  void restore(const StateSnapshot& snapshot) { retries_.add(actions_.now(), snapshot.recent_retries); }

 private:
  static constexpr Micros kAdmissionBucketsPerWindow = 63;
  static constexpr std::int64_t kAdmissionBucketsCounted = 62;
  static constexpr Micros kRetryBucketsPerWindow = 62;  // and all 64 are counted

  const BalancerActions& actions_;
  SlidingWindowOf<64> admissions_;
  SlidingWindowOf<64> retries_;
  SlidingWindow ended_{kSecond};
  SlidingWindow durations_{kSecond};
};

}  // namespace cherryrail
