#include "balancer/outlier_detector.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <string>

namespace cherryrail {

void OutlierDetector::record_outcome(Backend& backend, bool is_success) {
  OutlierStatus& status = backend.outlier;
  const Micros now = actions_.now();
  const double usual = usual_failure_share(backend);
  (is_success ? status.successes_ : status.failures_).add(now, 1);
  (is_success ? successes_ : failures_).add(now, 1);
  const double likelihood_ratio =
      is_success ? (1 - kOutlierFailureShare) / (1 - usual) : kOutlierFailureShare / usual;
  status.failure_log_odds_ =
      std::clamp(status.failure_log_odds_ + std::log(likelihood_ratio), 0.0, 2 * kEjectionLogOdds);
  if (status.is_ejected_) {
    record_recovery_outcome(backend, is_success);
    return;
  }
  // What fails during overload is the load's fault: the capacity limit answers that.
  const bool is_outlier = status.failure_log_odds_ >= kEjectionLogOdds;
  if (is_outlier && !capacity_.was_reduced_recently(backend) && may_eject_another()) eject(backend);
}

double OutlierDetector::usual_failure_share(const Backend& backend) const {
  const Micros now = actions_.now();
  const double failed = 0.04 + std::max(0.0, failures_.sum(now) - backend.outlier.failures_.sum(now));
  const double seen = 2 + failed + std::max(0.0, successes_.sum(now) - backend.outlier.successes_.sum(now));
  return std::clamp(failed / seen, 0.02, 0.95 * kOutlierFailureShare);
}

void OutlierDetector::record_recovery_outcome(Backend& backend, bool is_success) {
  OutlierStatus& status = backend.outlier;
  const Micros now = actions_.now();
  const Micros longer = std::min(2 * status.recovery_interval_, kLongestRecoveryInterval);
  status.recovery_interval_ = is_success ? status.recovery_interval_ / 2 : longer;
  status.next_recovery_attempt_at_ = now + status.recovery_interval_;
  status.consecutive_successes_ = is_success ? status.consecutive_successes_ + 1 : 0;
  if (status.consecutive_successes_ < kSuccessesToRecover) return;
  // One that did not respond may have restarted before discovery can say so: then it warms up.
  if (status.is_unresponsive_) backend.slow_start.assume_started_at(now);
  status.reset();
  actions_.log("backend " + std::to_string(backend.name) + " recovered");
}

bool OutlierDetector::may_eject_another() const {
  const auto& backends = fleet_.backends();
  const auto is_ejected = [](const auto& peer) { return peer->outlier.is_ejected(); };
  return 2 * std::ranges::count_if(backends, is_ejected) + 2 <= std::ssize(backends);
}

void OutlierDetector::eject(Backend& backend) {
  backend.outlier.eject(actions_.now(), kFirstRecoveryInterval);
  actions_.log("backend " + std::to_string(backend.name) + " ejected");
}

void OutlierDetector::record_no_response(Backend& backend) {
  OutlierStatus& status = backend.outlier;
  if (++status.consecutive_no_responses_ < kNoResponsesToEject) return;
  const auto responds = [](const auto& peer) {
    return peer->state == EndpointState::ready && peer->outlier.consecutive_no_responses_ == 0;
  };
  if (std::ranges::none_of(fleet_.backends(), responds)) return;
  if (!status.is_ejected_) eject(backend);
  status.is_unresponsive_ = true;
  migration_.migrate_all(backend, "is unresponsive");
}

}  // namespace cherryrail
