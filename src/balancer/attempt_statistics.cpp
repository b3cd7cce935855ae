#include "balancer/attempt_statistics.hpp"

namespace cherryrail {

void AttemptStatistics::record_admission() { admissions_.add(actions_.now(), 1); }

void AttemptStatistics::record_attempt(const Session& session) {
  if (session.attempts > 1) retries_.add(session.attempt_started_at, 1);
}

void AttemptStatistics::return_attempt(const Session& session) {
  if (session.attempts > 1) retries_.add(session.attempt_started_at, -1);
}

void AttemptStatistics::record_duration(Micros duration) {
  ended_attempts_.add(actions_.now(), 1);
  durations_.add(actions_.now(), static_cast<double>(duration));
}

double AttemptStatistics::admissions() const {
  return admissions_.sum(actions_.now(), kAdmissionBucketsCounted);
}

double AttemptStatistics::retries() const { return retries_.sum(actions_.now()); }

double AttemptStatistics::mean_duration(double factor) const {
  const double ended = ended_attempts_.sum(actions_.now());
  return ended > 0 ? factor * durations_.sum(actions_.now()) / ended : 0;
}

}  // namespace cherryrail
