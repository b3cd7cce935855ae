#include "balancer/fleet_load.hpp"

#include <algorithm>

namespace cherryrail {

struct FleetLoadMeter::Sums {
  double load = 0;
  double relative_capacity = 0;  // of all backends in service, including those with a latency penalty
  ZoneCapacity capacity;         // of the same backends, times their slow-start factors
  double reporting = 0;          // number of backends that have reported their utilization
  double utilization = 0;        // sum over these
  double known = 0;              // number of backends about whose load this relay has information
  double overloaded = 0;         // number of these that were overloaded recently
  double current_capacity = 0;   // of the overloaded ones
  double load_at_overload = 0;
};

FleetLoad FleetLoadMeter::measure() const {
  FleetLoad load;
  Sums sums;
  zones_seen_.assign(zones_seen_.size(), false);
  for (const auto& backend : fleet_.backends()) add(*backend, load, sums);
  const double ready = std::max(1.0, load.ready_count);
  load.new_session_rate = arrivals_.new_session_rate(actions_.now(), parameters_.overload_window);
  load.is_most_overloaded = capacity_.are_most_overloaded(sums.known, sums.overloaded);
  load.capacity_left = sums.load_at_overload > 0 ? sums.current_capacity / sums.load_at_overload : 1;
  load.mean_relative_capacity = sums.relative_capacity > 0 ? sums.relative_capacity / ready : 1;
  load.sessions_per_backend /= ready;
  if (sums.reporting > 0) {
    load.mean_utilization = std::clamp(sums.utilization / sums.reporting, kLowUtilization, kFullUtilization);
  } else {
    load.mean_utilization = kFullUtilization;
  }
  load.local_zone_weight = local_zone_.weight(sums.capacity);
  load.load_per_capacity = load.ready_capacity > 0 ? sums.load / load.ready_capacity : 0;
  return load;
}

void FleetLoadMeter::add(const Backend& backend, FleetLoad& load, Sums& sums) const {
  if (backend.state != EndpointState::gone) load.listed_capacity += backend.relative_capacity;
  if (backend.state != EndpointState::ready || backend.outlier.is_ejected()) return;
  if (zones_seen_.size() <= backend.zone) zones_seen_.resize(backend.zone + 1);
  if (!zones_seen_[backend.zone]) ++sums.capacity.zones;
  zones_seen_[backend.zone] = true;
  if (backend.reported_utilization > 0) ++sums.reporting;
  sums.utilization += backend.reported_utilization;
  const double capacity = backend.relative_capacity * slow_start_.factor(backend);
  if (backend.zone == parameters_.zone) sums.capacity.local += capacity;
  sums.capacity.total += capacity;
  sums.relative_capacity += backend.relative_capacity;
  // Backends with a latency penalty are left out. Otherwise, where only a few backends have none, these would
  // seem full and no session would move to them.
  if (penalties_.latency(backend) > 0) return;
  add_without_penalty(backend, capacity, load, sums);
}

void FleetLoadMeter::add_without_penalty(const Backend& backend, double capacity, FleetLoad& load,
                                         Sums& sums) const {
  ++load.ready_count;
  load.ready_capacity += capacity;
  sums.load += backend.sessions.load();
  load.sessions_per_backend += static_cast<double>(backend.sessions.size());
  if (capacity_.is_recovering(backend)) load.is_any_overloaded = true;
  const bool is_overloaded = capacity_.is_overload_witnessed(backend);
  if (is_overloaded || !backend.sessions.empty() || capacity_.has_spare_capacity_report(backend))
    ++sums.known;
  if (!is_overloaded) return;
  ++sums.overloaded;
  sums.current_capacity += std::min(capacity_.current(backend), backend.capacity.load_at_overload());
  sums.load_at_overload += backend.capacity.load_at_overload();
}

}  // namespace cherryrail
