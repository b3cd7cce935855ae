#include "balancer/outlier_detector.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <string>

namespace cherryrail {

void OutlierDetector::record_outcome(Backend& backend, bool is_success) {
  OutlierStatus& status = backend.outlier;
  const Micros now = actions_.now();
  const double peer_rate = peer_failure_rate(backend);
  (is_success ? status.successes_ : status.failures_).add(now, 1);
  (is_success ? successes_ : failures_).add(now, 1);
  const double likelihood_ratio =
      is_success ? (1 - kOutlierFailureRate) / (1 - peer_rate) : kOutlierFailureRate / peer_rate;
  status.failure_log_odds_ =
      std::clamp(status.failure_log_odds_ + std::log(likelihood_ratio), 0.0, 2 * kEjectionLogOdds);
  if (status.is_ejected_) {
    record_recovery_outcome(backend, is_success);
    return;
  }
  // Failures during overload are caused by the load, which the capacity limit handles.
  const bool is_outlier = status.failure_log_odds_ >= kEjectionLogOdds;
  if (is_outlier && !capacity_.was_reduced_recently(backend) && may_eject_another()) eject(backend);
}

double OutlierDetector::peer_failure_rate(const Backend& backend) const {
  const Micros now = actions_.now();
  const double failed =
      kPriorFailures + std::max(0.0, failures_.sum(now) - backend.outlier.failures_.sum(now));
  const double total =
      kPriorSuccesses + failed + std::max(0.0, successes_.sum(now) - backend.outlier.successes_.sum(now));
  return std::clamp(failed / total, kMinPeerFailureRate, kMaxPeerFailureRate);
}

void OutlierDetector::record_recovery_outcome(Backend& backend, bool is_success) {
  OutlierStatus& status = backend.outlier;
  const Micros now = actions_.now();
  const Micros doubled_interval = std::min(2 * status.recovery_interval_, kMaxRecoveryInterval);
  status.recovery_interval_ = is_success ? status.recovery_interval_ / 2 : doubled_interval;
  status.next_recovery_attempt_at_ = now + status.recovery_interval_;
  status.consecutive_successes_ = is_success ? status.consecutive_successes_ + 1 : 0;
  if (status.consecutive_successes_ < kSuccessesToRecover) return;
  // An unresponsive backend may have restarted before discovery reports it, and would then be warming up.
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
  backend.outlier.eject(actions_.now(), kInitialRecoveryInterval);
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
