// Outlier detection state of one backend, updated by OutlierDetector.
#pragma once

#include "balancer/sliding_window.hpp"
#include "balancer/state_snapshot.hpp"
#include "balancer/time.hpp"

namespace cherryrail {

class OutlierStatus {
 public:
  // Excluded from placement, except for recovery attempts.
  bool is_ejected() const { return is_ejected_; }
  // Ejected, and no recovery attempt is due yet.
  bool is_avoided(Micros now) const { return is_ejected_ && now < next_recovery_attempt_at_; }
  // Ejected because it did not respond at all.
  bool is_unresponsive() const { return is_unresponsive_; }
  // The sequential test's log odds that the backend is an outlier rather than failing as the others do.
  double failure_log_odds() const { return failure_log_odds_; }
  Micros last_response_at() const { return last_response_at_; }
  // Failures within the last two seconds.
  double recent_failures(Micros now) const { return failures_.sum(now, 2); }

  // Clears the state of a backend that has restarted or recovered.
  void reset();
  // Excludes the backend from placement; the first recovery attempt is due after `recovery_interval`.
  void eject(Micros now, Micros recovery_interval);
  // The backend has sent any response.
  void record_response(Micros now);
  // A health check of the ejected backend succeeded: a recovery attempt may follow at once.
  void allow_recovery_attempt(Micros now);
  // An attempt at the backend started; if it is ejected, the next one has to wait.
  void record_attempt(Micros now);

  void save(BackendSnapshot& snapshot) const;

 private:
  friend class OutlierDetector;

  bool is_ejected_ = false;
  bool is_unresponsive_ = false;
  double failure_log_odds_ = 0;
  unsigned consecutive_successes_ = 0;     // since the ejection
  unsigned consecutive_no_responses_ = 0;  // since the last response of any kind
  Micros next_recovery_attempt_at_ = 0;
  Micros recovery_interval_ = 0;
  Micros last_response_at_ = 0;
  SlidingWindow successes_{kSecond};
  SlidingWindow failures_{kSecond};
};

}  // namespace cherryrail
