#include "balancer/capacity.hpp"

#include <algorithm>

namespace cherryrail {

double CapacityLimiter::current(const Backend& backend) const {
  const CapacityLimit& limit = backend.capacity;
  if (!limit.is_limited()) return CapacityLimit::kUnlimited;
  const auto calm = static_cast<double>(actions_.now() - limit.reduced_at_ - 2 * kReduceInterval);
  const auto recovery_time = static_cast<double>(parameters_.capacity_recovery_time);
  // Below 0 once it is past the load at overload.
  const double to_go = 1 - std::max(0.0, calm / recovery_time);
  const double at_overload = limit.load_at_overload_;
  const double growth = to_go < 0 ? -to_go * to_go * to_go * at_overload : 0;
  return at_overload - (at_overload - limit.limit_) * to_go * to_go * to_go + growth;
}

bool CapacityLimiter::fits(double held, double load, const Session& session, const Backend& backend) const {
  const double largest = std::max(backend.capacity.load_at_overload_, load);
  const double spared = (1 - agreed_order(session, backend)) * std::min(1.0, load / largest);
  return held + load * (1 - spared) <= current(backend);
}

void CapacityLimiter::reduce(Backend& backend, double share) {
  CapacityLimit& limit = backend.capacity;
  const Micros now = actions_.now();
  if (limit.reduced_at_ > 0 && now - limit.reduced_at_ < kReduceInterval) return;
  // A relay that holds one session there, or has just lost it, would close the backend for good. Less than
  // one session's capacity is a chance to be placed, the same at every relay.
  const double session_load = fleet_.mean_session_load();
  const double held = std::max(backend.sessions.load(), session_load);
  const bool is_again = limit.reduced_at_ > 0 && now - limit.reduced_at_ < parameters_.capacity_recovery_time;
  const double reached = std::max(kSlightReduction * limit.load_at_overload_, held);
  limit.load_at_overload_ = is_again ? reached : held;
  const double without_extra = 1 - kExtraReduction * session_load / held;
  const double kept = backend.sessions.load() > 0 ? share : std::min(share, kDeepReduction);
  limit.limit_ = std::min(current(backend), held) * without_extra * kept;
  limit.reduced_at_ = now;
  limit.is_inferred_ = false;
}

void CapacityLimiter::record_drop(Backend& backend) {
  if (backend.outlier.recent_failures(actions_.now()) > 0) reduce(backend, 1);
}

void CapacityLimiter::record_spare_capacity(Backend& backend, double utilization) {
  CapacityLimit& limit = backend.capacity;
  const Micros now = actions_.now();
  limit.spare_capacity_reported_at_ = now;
  const SessionSet& sessions = backend.sessions;
  const double load_then = std::max(0.0, sessions.load() - sessions.recently_added_load(now));
  const double full_load = kFullUtilization * (load_then / std::max(utilization, kCalmUtilization));
  const double bearable = std::max(full_load, utilization < kCalmUtilization ? limit.load_at_overload_ : 0);
  if (current(backend) >= bearable) return;
  limit.limit_ = bearable;
  limit.load_at_overload_ = std::max(limit.load_at_overload_, bearable);
}

void CapacityLimiter::infer_from_others(const FleetLoad& fleet_load) {
  const Micros now = actions_.now();
  if (!is_generally_overloaded()) {
    general_overload_until_ = now + parameters_.capacity_recovery_time;
    actions_.log("most known backends overloaded: capacity of the others is inferred");
  }
  for (const auto& backend : fleet_.backends()) {
    CapacityLimit& limit = backend->capacity;
    const bool is_empty = backend->sessions.empty();
    // One that warms up and holds nothing here is most likely empty: slow start bounds it.
    if (is_empty ? slow_start_.factor(*backend) < 1 : limit.is_limited()) continue;
    limit.is_inferred_ = true;  // no evidence: or the verdict would feed on itself
    limit.load_at_overload_ = std::max(backend->sessions.load(), fleet_.mean_session_load());
    const double left = is_empty ? kUnknownCapacity * fleet_load.capacity_left : 1;
    limit.limit_ = std::min(current(*backend), limit.load_at_overload_ * left);
    limit.reduced_at_ = now;
  }
}

void CapacityLimiter::retract_overload_of(const Backend& outlier) {
  general_overload_until_ = std::min(general_overload_until_, actions_.now());
  for (const auto& backend : fleet_.backends()) {
    const bool is_outlier = backend.get() == &outlier;
    if (is_outlier ? was_reduced_recently(outlier) : backend->capacity.is_inferred_)
      backend->capacity.remove();
  }
}

bool CapacityLimiter::is_overload_witnessed(const Backend& backend) const {
  if (backend.capacity.is_inferred_) return false;
  return backend.sessions.empty() ? is_recovering(backend) : was_reduced_recently(backend);
}

bool CapacityLimiter::are_most_overloaded(double known, double overloaded) const {
  return (known >= kFewKnown && 3 * overloaded >= 2 * known) || is_generally_overloaded();
}

}  // namespace cherryrail
