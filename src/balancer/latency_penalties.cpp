// Looks up the penalties that are in force; latency_outliers.cpp decides what follows from them.
#include "balancer/latency_penalties.hpp"

#include <algorithm>

namespace cherryrail {

Micros LatencyPenalties::latency(const Backend& backend) const {
  // As nearly always: this is asked of every backend for every placement.
  if (paths_.empty() && !backend.latency.penalty().was_imposed()) return 0;
  return std::max(backend.latency.penalty().latency(actions_.now()), path_latency(backend));
}

Micros LatencyPenalties::path_latency(const Backend& backend) const {
  const auto path = paths_.find(backend.zone);
  return path != paths_.end() ? path->second.latency(actions_.now()) : 0;
}

}  // namespace cherryrail
