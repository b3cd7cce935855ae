// Whether one backend fails more than its peers, or does not answer at all.
#pragma once

#include "balancer/sliding_window.hpp"
#include "balancer/state_snapshot.hpp"
#include "balancer/time.hpp"

namespace cherryrail {

class OutlierStatus {
 public:
  // Ejected from placement, but for the attempts by which it may recover.
  bool is_ejected() const { return is_ejected_; }
  // Ejected, and no attempt at it is due.
  bool is_avoided(Micros now) const { return is_ejected_ && now < next_recovery_attempt_at_; }
  // Ejected because it did not answer at all.
  bool is_unresponsive() const { return is_unresponsive_; }
  // The sequential test's log odds that it fails by itself, and not as its peers do.
  double failure_log_odds() const { return failure_log_odds_; }
  Micros last_response_at() const { return last_response_at_; }
  // Failures in the latest two seconds.
  double recent_failures(Micros now) const { return failures_.sum(now, 2); }

  // Forgets what was learned of it: it has restarted.
  void reset();
  // Takes it out of placement; the first attempt by which it may recover follows after an interval.
  void eject(Micros now, Micros recovery_interval);
  // Something came back from it.
  void record_response(Micros now);
  // A health check got through to it while it is ejected: an attempt may follow at once.
  void allow_recovery_attempt(Micros now);
  // An attempt was sent to it: the next one at an ejected backend has to wait.
  void record_attempt(Micros now);

  void save(BackendSnapshot& snapshot) const;

 private:
  friend class OutlierDetector;

  bool is_ejected_ = false;
  bool is_unresponsive_ = false;
  double failure_log_odds_ = 0;
  unsigned consecutive_successes_ = 0;     // since it was ejected
  unsigned consecutive_no_responses_ = 0;  // no word of any kind came back
  Micros next_recovery_attempt_at_ = 0;
  Micros recovery_interval_ = 0;
  Micros last_response_at_ = 0;
  SlidingWindow successes_{kSecond};
  SlidingWindow failures_{kSecond};
};

}  // namespace cherryrail
