#include "balancer/capacity.hpp"

#include <algorithm>

namespace cherryrail {

double CapacityLimiter::current(const Backend& backend) const {
  const CapacityLimit& limit = backend.capacity;
  if (!limit.is_limited()) return CapacityLimit::kUnlimited;
  const auto recovering_for =
      static_cast<double>(actions_.now() - limit.reduced_at_ - 2 * kMinReductionInterval);
  const auto recovery_time = static_cast<double>(parameters_.capacity_recovery_time);
  // 1 until recovery begins, 0 when the limit is back at the load at overload, negative past that.
  const double remaining = 1 - std::max(0.0, recovering_for / recovery_time);
  const double at_overload = limit.load_at_overload_;
  const double growth = remaining < 0 ? -remaining * remaining * remaining * at_overload : 0;
  return at_overload - (at_overload - limit.limit_) * remaining * remaining * remaining + growth;
}

bool CapacityLimiter::fits(double held, double load, const Session& session, const Backend& backend) const {
  const double largest = std::max(backend.capacity.load_at_overload_, load);
  const double waived_share = (1 - capacity_order(session, backend)) * std::min(1.0, load / largest);
  return held + load * (1 - waived_share) <= current(backend);
}

void CapacityLimiter::reduce(Backend& backend, double share) {
  CapacityLimit& limit = backend.capacity;
  const Micros now = actions_.now();
  if (limit.reduced_at_ > 0 && now - limit.reduced_at_ < kMinReductionInterval) return;
  // Assumes a load of at least one session; otherwise a relay that holds one session or none there would
  // never use the backend again. A limit below one session admits sessions by a hash draw (see fits()).
  const double session_load = fleet_.mean_session_load();
  const double held = std::max(backend.sessions.load(), session_load);
  const bool is_again = limit.reduced_at_ > 0 && now - limit.reduced_at_ < parameters_.capacity_recovery_time;
  const double reached = std::max(kSlightReductionFactor * limit.load_at_overload_, held);
  limit.load_at_overload_ = is_again ? reached : held;
  const double without_extra = 1 - kRoundingReductionSessions * session_load / held;
  const double kept = backend.sessions.load() > 0 ? share : std::min(share, kDeepReductionFactor);
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
  const double full_load = kFullUtilization * (load_then / std::max(utilization, kLowUtilization));
  const double sustainable_load =
      std::max(full_load, utilization < kLowUtilization ? limit.load_at_overload_ : 0);
  if (current(backend) >= sustainable_load) return;
  limit.limit_ = sustainable_load;
  limit.load_at_overload_ = std::max(limit.load_at_overload_, sustainable_load);
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
    // A warming-up backend without sessions of this relay is most likely empty, and slow start limits it.
    if (is_empty ? slow_start_.factor(*backend) < 1 : limit.is_limited()) continue;
    limit.is_inferred_ = true;  // not evidence of overload, or general overload would sustain itself
    limit.load_at_overload_ = std::max(backend->sessions.load(), fleet_.mean_session_load());
    const double left = is_empty ? kUnknownCapacityFactor * fleet_load.capacity_left : 1;
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
  return (known >= kMinKnownBackends && 3 * overloaded >= 2 * known) || is_generally_overloaded();
}

}  // namespace cherryrail
