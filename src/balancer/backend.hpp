// A backend as the balancer sees it: what discovery says of it, the sessions it holds, and the state that
// each mechanism keeps of it.
#pragma once

#include <cstdint>
#include <memory>

#include "balancer/capacity_limit.hpp"
#include "balancer/health_check_status.hpp"
#include "balancer/latency_status.hpp"
#include "balancer/outlier_status.hpp"
#include "balancer/session_set.hpp"
#include "balancer/slow_start_status.hpp"
#include "balancer/types.hpp"

namespace cherryrail {

// Its place in the rendezvous order for the session that is being placed.
struct RendezvousScore {
  double draw = 0;
  double weight = 1;

  // The lower the better: weights shift shares as the logarithmic method of weighted rendezvous hashing does.
  double rank() const;
  // Never over rank(), and cheaper: the logarithm is taken only where this does not settle the order.
  double rank_lower_bound() const { return (1 - draw) / weight; }
};

struct Backend : std::enable_shared_from_this<Backend> {
  // Set by the caller before the first Balancer::update_endpoint.
  std::uint64_t name = 0;  // the same at every relay; hashed, never ordered by
  unsigned zone = 0;
  unsigned cell = 0;
  bool disabled_by_operator = false;  // from then on through Balancer::set_disabled

  // Kept by the balancer, from what discovery and operators say.
  EndpointState state = EndpointState::ready;  // in force: a disabled backend counts as draining
  EndpointState reported_state = EndpointState::ready;
  double size = 1;                  // capacity relative to other backends
  double reported_utilization = 0;  // by its latest load report; 0: none yet
  Micros reported_started_at = 0;
  Micros disabled_at = 0;

  // Each mechanism's own. What every placement reads stands first.
  std::uint64_t name_hash = 0;
  RendezvousScore score;
  SlowStartStatus slow_start;
  CapacityLimit capacity;
  SessionSet sessions;
  LatencyStatus latency;
  HealthCheckStatus health_check;
  OutlierStatus outlier;
};

// The place of the session's group in the order in which this backend's capacity is given out, from 0 (first)
// to 1; the same at every relay.
double agreed_order(const Session& session, const Backend& backend);

}  // namespace cherryrail
