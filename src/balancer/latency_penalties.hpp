// The latencies that backends, and paths to other zones, are expected to add whatever their load is.
#pragma once

#include <map>

#include "balancer/actions.hpp"
#include "balancer/fleet.hpp"

namespace cherryrail {

// LatencyOutlierDetector imposes the penalties; placement and migration ask for them.
class LatencyPenalties {
 public:
  explicit LatencyPenalties(const BalancerActions& actions) : actions_(actions) {}

  // The backend's own penalty or its path's, whichever is longer; 0 where it is in time.
  Micros latency(const Backend& backend) const;
  // Of the path to its zone alone: failures there speak against no backend.
  Micros path_latency(const Backend& backend) const;
  // Whether messages of the session could not be in time at the backend.
  bool is_too_slow_for(const Session& session, const Backend& backend) const;

  LatencyPenalty& path_to(unsigned zone) { return paths_[zone]; }

 private:
  static constexpr double kTolerablePart = 0.7;  // of a session's message latency objective

  const BalancerActions& actions_;
  std::map<unsigned, LatencyPenalty> paths_;  // by zone
};

}  // namespace cherryrail
