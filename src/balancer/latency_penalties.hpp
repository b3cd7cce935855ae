// The latencies that backends, and network paths to zones, are expected to add independently of their load.
#pragma once

#include <map>

#include "balancer/actions.hpp"
#include "balancer/fleet.hpp"

namespace cherryrail {

// LatencyOutlierDetector imposes the penalties; placement and migration query them.
class LatencyPenalties {
 public:
  explicit LatencyPenalties(const BalancerActions& actions) : actions_(actions) {}

  // The active penalty of the backend or of the path to its zone, whichever is higher; 0 without a penalty.
  Micros latency(const Backend& backend) const;
  // The active penalty of the path to the backend's zone alone: failures on a slow path do not count against
  // a backend.
  Micros path_latency(const Backend& backend) const;
  // Whether messages of the session would miss their objective at the backend.
  bool is_too_slow_for(const Session& session, const Backend& backend) const;

  LatencyPenalty& path_to(unsigned zone) { return paths_[zone]; }

 private:
  static constexpr double kMaxObjectiveShare = 0.7;  // of a session's message latency objective

  const BalancerActions& actions_;
  std::map<unsigned, LatencyPenalty> paths_;  // by zone
};

}  // namespace cherryrail
