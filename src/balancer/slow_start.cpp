#include "balancer/slow_start.hpp"

#include <algorithm>
#include <limits>

#include "balancer/hash.hpp"

namespace cherryrail {

double SlowStart::factor(const Backend& backend) const {
  const Micros started_at = backend.slow_start.started_at_;
  if (started_at <= 0) return 1;
  const double age =
      static_cast<double>(actions_.now() - started_at) / static_cast<double>(parameters_.slow_start_duration);
  const double initial = parameters_.slow_start_initial_factor;
  return std::clamp(initial + (1 - initial) * age, initial, 1.0);
}

double SlowStart::planned_load_factor() const {
  const auto window = static_cast<double>(parameters_.overload_window);
  const auto duration = static_cast<double>(parameters_.slow_start_duration);
  return kPlannedLoadRatio * parameters_.overload_factor * std::min(1.0, window / duration);
}

bool SlowStart::may_admit(const Session& session, const Backend& backend, const FleetLoad& fleet_load) const {
  if (factor(backend) >= 1) return true;
  return may_admit_to_preferred(session, backend, fleet_load) || has_admission_slot(backend, fleet_load);
}

bool SlowStart::may_admit_to_preferred(const Session& session, const Backend& backend,
                                       const FleetLoad& fleet_load) const {
  const Micros now = actions_.now();
  if (session.preferred_backend != &backend || now < slots_from_) return false;
  const double fleet_capacity =
      std::max(fleet_load.listed_capacity * fleet_load.mean_utilization, kMinFleetCapacity);
  if (!session.is_reconnecting)
    return kPlannedLoadRatio * parameters_.overload_factor * fleet_load.ready_capacity >= fleet_capacity;
  const double sustainable_sessions = planned_load_factor() * static_cast<double>(fleet_.session_count() + 1);
  const std::int64_t seconds = 1 + parameters_.overload_window / kSecond;
  const double reconnects = arrivals_.recent_reconnects(now, seconds) * fleet_capacity;
  const double draw = uniform_draw(mix_hash(session.client_key), backend.name_hash);
  return draw * reconnects < sustainable_sessions * fleet_load.ready_capacity;
}

bool SlowStart::has_admission_slot(const Backend& backend, const FleetLoad& fleet_load) const {
  const std::int64_t slot = slot_number(backend);
  // The predecessor of a relay that has just started may have used a slot that began before.
  if (backend.slow_start.started_at_ + slot * parameters_.overload_window < slots_from_) return false;
  const double relays = parameters_.relay_count;
  const double fleet_capacity =
      std::max(fleet_load.listed_capacity * fleet_load.mean_utilization, kMinFleetCapacity);
  const double from_held_sessions = planned_load_factor() * static_cast<double>(fleet_.session_count() + 1);
  const double new_sessions = kPlannedLoadRatio * parameters_.overload_factor * fleet_load.new_session_rate;
  const double from_new_sessions = new_sessions * static_cast<double>(parameters_.overload_window);
  const double capacity_share = factor(backend) * backend.relative_capacity / fleet_capacity;
  const double budget = capacity_share * relays * std::max(from_held_sessions, from_new_sessions);
  const auto slots = static_cast<std::int64_t>(std::clamp(budget, 1.0, relays));
  if ((parameters_.relay_index + slot * slots) % parameters_.relay_count >= slots) return false;
  const bool is_current = backend.slow_start.admission_slot_ == slot;
  const double admitted = is_current ? backend.slow_start.admitted_in_slot_ + 1.0 : 1.0;
  return admitted <= std::max(1.0, budget / static_cast<double>(slots));
}

void SlowStart::record_attempt(Backend& backend) const {
  if (backend.slow_start.started_at_ > 0) backend.slow_start.record_admission(slot_number(backend));
}

std::int64_t SlowStart::slot_number(const Backend& backend) const {
  return std::max<Micros>(0, actions_.now() - backend.slow_start.started_at_) / parameters_.overload_window;
}

void SlowStart::release_slots() { slots_from_ = std::numeric_limits<Micros>::max(); }

}  // namespace cherryrail
