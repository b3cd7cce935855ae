// State changes of the latency, slow-start and outlier status of a backend.
#include <algorithm>

#include "balancer/latency_status.hpp"
#include "balancer/outlier_status.hpp"
#include "balancer/slow_start_status.hpp"

namespace cherryrail {
namespace {

constexpr Micros kMinPenaltyDuration = 3 * kSecond;
constexpr Micros kMaxPenaltyDuration = 24 * kSecond;

}  // namespace

void LatencyPenalty::impose(Micros latency, Micros now) {
  if (!is_active(now)) {
    duration_ = ended_recently(now) ? std::min(2 * duration_, kMaxPenaltyDuration) : kMinPenaltyDuration;
  }
  latency_ = latency;
  until_ = now + duration_;
}

void SlowStartStatus::record_admission(std::int64_t slot) {
  admitted_in_slot_ = admission_slot_ == slot ? admitted_in_slot_ + 1 : 1;
  admission_slot_ = slot;
}

void LatencyStatus::record(Micros latency, bool is_similar, Micros now) {
  consecutive_similar_reports_ = is_similar ? consecutive_similar_reports_ + 1 : 0;
  reported_latency_ = latency;
  reported_at_ = now;
}

void OutlierStatus::reset() {
  failure_log_odds_ = 0;
  is_ejected_ = false;
}

void OutlierStatus::eject(Micros now, Micros recovery_interval) {
  is_ejected_ = true;
  is_unresponsive_ = false;
  consecutive_successes_ = 0;
  recovery_interval_ = recovery_interval;
  next_recovery_attempt_at_ = now + recovery_interval;
}

void OutlierStatus::record_response(Micros now) {
  last_response_at_ = now;
  consecutive_no_responses_ = 0;
}

void OutlierStatus::allow_recovery_attempt(Micros now) {
  next_recovery_attempt_at_ = std::min(next_recovery_attempt_at_, now);
}

void OutlierStatus::record_attempt(Micros now) {
  if (is_ejected_) next_recovery_attempt_at_ = now + recovery_interval_;
}

}  // namespace cherryrail
