// A backend as the balancer sees it: its description from discovery, the sessions it holds, and the state
// that each load balancing mechanism keeps for it.
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

// A backend's score in weighted rendezvous hashing, for the session that is being placed.
struct RendezvousScore {
  double draw = 0;
  double weight = 1;

  // Lower is better. Uses the logarithmic method of weighted rendezvous hashing.
  double rank() const;
  // Never above rank(), and cheaper: avoids the logarithm where this bound already decides the order.
  double rank_lower_bound() const { return (1 - draw) / weight; }
};

struct Backend : std::enable_shared_from_this<Backend> {
  // Set by the caller before the first Balancer::update_endpoint.
  std::uint64_t name = 0;  // the same at every relay; hashed only, its order has no meaning
  unsigned zone = 0;
  unsigned cell = 0;
  bool disabled_by_operator = false;  // initial value; changed later by Balancer::set_disabled

  // Set by the balancer, from discovery and operators' actions.
  EndpointState state = EndpointState::ready;  // effective state: a disabled backend is draining
  EndpointState reported_state = EndpointState::ready;
  double relative_capacity = 1;     // compared with other backends; no unit
  double reported_utilization = 0;  // from the latest load report; 0: none yet
  Micros reported_started_at = 0;
  Micros disabled_at = 0;

  // State of the separate mechanisms. Fields read by every placement come first.
  std::uint64_t name_hash = 0;
  RendezvousScore score;
  SlowStartStatus slow_start;
  CapacityLimit capacity;
  SessionSet sessions;
  LatencyStatus latency;
  HealthCheckStatus health_check;
  OutlierStatus outlier;
};

// The position of the session's group in the order in which this backend's capacity is assigned, from 0
// (first) to 1 (last); the same at every relay.
double capacity_order(const Session& session, const Backend& backend);

}  // namespace cherryrail
