// Looks up the active latency penalties.
#include "balancer/latency_penalties.hpp"

#include <algorithm>

namespace cherryrail {

Micros LatencyPenalties::latency(const Backend& backend) const {
  // Fast path for the usual case: this function runs for every backend on every placement.
  if (paths_.empty() && !backend.latency.penalty().was_imposed()) return 0;
  return std::max(backend.latency.penalty().latency(actions_.now()), path_latency(backend));
}

Micros LatencyPenalties::path_latency(const Backend& backend) const {
  const auto path = paths_.find(backend.zone);
  return path != paths_.end() ? path->second.latency(actions_.now()) : 0;
}

}  // namespace cherryrail
