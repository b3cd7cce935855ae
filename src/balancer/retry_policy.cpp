#include "balancer/retry_policy.hpp"

#include <algorithm>

namespace cherryrail {

bool RetryPolicy::is_safe(const Session& session, const Backend& backend) const {
  const TrafficClass& traffic_class = *session.traffic_class;
  const Backend* earlier_backend = session.may_have_run_on;
  if (earlier_backend == nullptr || traffic_class.idempotency == Idempotency::idempotent) return true;
  if (traffic_class.idempotency == Idempotency::non_idempotent) return false;
  if (!is_within_deduplication_window(session, session.may_have_run_since, actions_.now())) return false;
  if (traffic_class.deduplication_scope == DeduplicationScope::zone)
    return backend.zone == earlier_backend->zone;
  if (traffic_class.deduplication_scope == DeduplicationScope::cell)
    return backend.cell == earlier_backend->cell;
  return true;
}

bool RetryPolicy::is_within_deduplication_window(const Session& session, Micros first_run_since,
                                                 Micros retry_at) const {
  const Micros deduplicated_until = first_run_since + session.traffic_class->deduplication_window;
  return retry_at + parameters_.answer_margin < deduplicated_until;
}

bool RetryPolicy::is_rejection_harmless(const Session& session) const {
  const TrafficClass& traffic_class = *session.traffic_class;
  // An attempt that is still under way may yet take effect.
  const bool may_have_run = session.may_have_run_on != nullptr || session.backend != nullptr;
  if (!may_have_run || traffic_class.idempotency == Idempotency::idempotent) return true;
  if (traffic_class.idempotency == Idempotency::non_idempotent) return false;
  if (traffic_class.deduplication_scope != DeduplicationScope::all) return false;
  const Micros first_run_since =
      session.may_have_run_on != nullptr ? session.may_have_run_since : session.attempt_started_at;
  const Micros retry_after = parameters_.may_send_retry_after ? parameters_.max_retry_after : 0;
  return is_within_deduplication_window(session, first_run_since, actions_.now() + retry_after);
}

bool RetryPolicy::is_within_budget(const Session& session) const {
  if (parameters_.retry_budget_window <= 0 || session.attempts == 0) return true;
  const double allowed = budget_minimum_ + budget_ratio_ * statistics_.admissions();
  const double spent = statistics_.retries();
  if (spent + 1 > allowed) return false;
  return 2 * spent < allowed || session.traffic_class->priority_weight >= parameters_.mean_priority_weight;
}

Micros RetryPolicy::attempt_timeout(const Session& session) const {
  const Micros now = actions_.now();
  const auto usual_timeout = static_cast<Micros>(statistics_.mean_duration(kTimeoutPerMeanDuration));
  const Micros objective = session.traffic_class->attempt_latency_objective;
  const Micros time_left = session.deadline - now - 2 * parameters_.answer_margin;
  if (session.pinned_backend) return std::min(time_left, session.deadline - now - kPinnedAnswerMargin);
  return std::min(std::max(objective, usual_timeout), time_left);
}

Micros RetryPolicy::pinned_retry_delay(const Session& session) {
  return kFirstPinnedRetryDelay << std::min(session.pinned_failures, kPinnedRetryDelayDoublings);
}

unsigned RetryPolicy::connect_timeout_factor(const Session& session) {
  return 1U << std::min(session.pinned_failures, kConnectTimeoutDoublings);
}

}  // namespace cherryrail
