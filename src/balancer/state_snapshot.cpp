#include "balancer/state_snapshot.hpp"

#include <algorithm>
#include <limits>
#include <span>
#include <utility>

#include "balancer/balancer.hpp"

namespace cherryrail {
namespace {

// Times from here on mean "always" or "forever" on any clock and are not shifted.
constexpr Micros kForever = std::numeric_limits<Micros>::max() / 2;

void shift_time(Micros& time, Micros shift) {
  if (time > 0 && time < kForever) time += shift;
}

}  // namespace

void shift_times(StateSnapshot& snapshot, Micros shift) {
  shift_time(snapshot.balancer_started_at, shift);
  shift_time(snapshot.admission_slots_from, shift);
  shift_time(snapshot.general_overload_until, shift);
  for (BackendSnapshot& backend : snapshot.backends) {
    shift_time(backend.started_at, shift);
    shift_time(backend.capacity_reduced_at, shift);
  }
}

// Counts go into the first part only, because import_state() adds them up; it replaces or merges the other
// values, so each part may repeat them.
std::vector<StateSnapshot> split(const StateSnapshot& snapshot, std::size_t max_backends) {
  const std::span<const BackendSnapshot> backends(snapshot.backends);
  std::vector<StateSnapshot> parts;
  for (std::size_t begin = 0; parts.empty() || begin < backends.size(); begin += max_backends) {
    StateSnapshot part = parts.empty() ? snapshot : parts.back();
    const auto chosen = backends.subspan(begin, std::min(max_backends, backends.size() - begin));
    part.backends.assign(chosen.begin(), chosen.end());
    if (!parts.empty()) {
      part.new_sessions = 0;
      part.recent_retries = 0;
    }
    parts.push_back(std::move(part));
  }
  return parts;
}

StateSnapshot Balancer::export_state() {
  StateSnapshot snapshot;
  arrivals_.save(snapshot);
  slow_start_.save(snapshot);
  capacity_.save(snapshot);
  health_checks_.save(snapshot);
  attempts_.save(snapshot);
  for (const auto& backend : fleet_.backends()) {
    BackendSnapshot& saved = snapshot.backends.emplace_back();
    saved.name = backend->name;
    saved.reported_started_at = backend->reported_started_at;
    backend->slow_start.save(saved);
    backend->capacity.save(saved);
    backend->outlier.save(saved);
  }
  slow_start_.release_slots();
  retry_policy_.release_budget();
  health_checks_.stop();
  return snapshot;
}

// Without its predecessor's state, a relay that is hot-restarted often would always count as just started,
// and would treat backends as warm that its predecessor knew to be warming up.
void Balancer::import_state(const StateSnapshot& snapshot) {
  arrivals_.restore(snapshot);
  slow_start_.restore(snapshot);
  capacity_.restore(snapshot);
  health_checks_.restore(snapshot);
  attempts_.restore(snapshot);
  for (const BackendSnapshot& saved : snapshot.backends) {
    const auto backend = fleet_.find(saved.name);
    if (backend == nullptr) continue;
    backend->slow_start.restore_admissions(saved);
    // The other state no longer applies to a backend that has restarted since the snapshot. If the
    // predecessor knew of the later start, the backend warms up since then.
    if (backend->reported_started_at > saved.reported_started_at) continue;
    backend->slow_start.restore_start(saved);
    if (backend->reported_started_at != saved.reported_started_at) continue;
    backend->capacity.restore(saved);
    outliers_.restore(*backend, saved);
  }
}

void CapacityLimiter::restore(const StateSnapshot& snapshot) {
  general_overload_until_ = std::max(general_overload_until_, snapshot.general_overload_until);
}

void SlowStart::restore(const StateSnapshot& snapshot) {
  slots_from_ = std::min(slots_from_, snapshot.admission_slots_from);
}

void OutlierStatus::save(BackendSnapshot& snapshot) const {
  snapshot.failure_log_odds = failure_log_odds_;
  snapshot.is_ejected = is_ejected_;
  snapshot.is_unresponsive = is_unresponsive_;
}

void CapacityLimit::save(BackendSnapshot& snapshot) const {
  snapshot.capacity_reduced_at = reduced_at_;
  snapshot.capacity_limit = limit_;
  snapshot.load_at_overload = load_at_overload_;
  snapshot.is_capacity_inferred = is_inferred_;
}

void CapacityLimit::restore(const BackendSnapshot& snapshot) {
  reduced_at_ = snapshot.capacity_reduced_at;
  limit_ = snapshot.capacity_limit;
  load_at_overload_ = snapshot.load_at_overload;
  is_inferred_ = snapshot.is_capacity_inferred;
}

void SlowStartStatus::save(BackendSnapshot& snapshot) const {
  snapshot.started_at = started_at_;
  snapshot.admission_slot = admission_slot_;
  snapshot.admitted_in_slot = admitted_in_slot_;
}

void SlowStartStatus::restore_admissions(const BackendSnapshot& snapshot) {
  admission_slot_ = snapshot.admission_slot;
  admitted_in_slot_ = snapshot.admitted_in_slot;
}

void OutlierDetector::restore(Backend& backend, const BackendSnapshot& snapshot) {
  backend.outlier.failure_log_odds_ = snapshot.failure_log_odds;
  if (!snapshot.is_ejected || backend.outlier.is_ejected_) return;
  eject(backend);
  backend.outlier.is_unresponsive_ = snapshot.is_unresponsive;
}

}  // namespace cherryrail
