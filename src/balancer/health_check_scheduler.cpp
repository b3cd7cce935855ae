#include "balancer/health_check_scheduler.hpp"

#include <algorithm>

namespace cherryrail {

void HealthCheckScheduler::record_new_session() { tokens_.add(tokens_per_new_session_); }

void HealthCheckScheduler::run() {
  if (is_stopped_) return;
  const Micros interval = parameters_.shortest_attempt_objective / 2;
  tokens_.add(static_cast<double>(interval) / kSecond / parameters_.relay_count);
  check_backends(true);
  check_backends(false);
  actions_.call_at(actions_.now() + interval, [this] { run(); });
}

void HealthCheckScheduler::check_backends(bool suspected) {
  const Micros now = actions_.now();
  const double tokens_needed = suspected ? 1 : kMaxTokens / 2;
  const auto& backends = fleet_.backends();
  const std::size_t from = next_index_;
  for (std::size_t i = 0; i < backends.size() && tokens_.tokens() >= tokens_needed; ++i) {
    Backend& backend = *backends[(from + i) % backends.size()];
    if (backend.state != EndpointState::ready || backend.health_check.is_pending()) continue;
    if (is_suspected(backend) != suspected || !is_due(backend, suspected, now)) continue;
    tokens_.take_one();
    backend.health_check.start(now);
    actions_.check_health(backend);
    if (!suspected) next_index_ = (from + i + 1) % backends.size();
  }
}

bool HealthCheckScheduler::is_suspected(const Backend& backend) const {
  const bool may_be_outlier = backend.outlier.failure_log_odds() > 0 && outliers_.has_recent_failures();
  return may_be_outlier || capacity_.was_reduced_recently(backend);
}

bool HealthCheckScheduler::is_due(const Backend& backend, bool suspected, Micros now) const {
  const Micros checked_at = backend.health_check.started_at();
  if (!suspected) return now >= std::max(checked_at, backend.outlier.last_response_at()) + kRoutineInterval;
  return now >=
         checked_at + (backend.outlier.is_ejected() ? kSecond : parameters_.shortest_attempt_objective);
}

}  // namespace cherryrail
