#include "balancer/endpoint_list_refresh.hpp"

#include <algorithm>

namespace cherryrail {

void EndpointListRefresh::on_failed(Micros longest) {
  if (!parameters_.must_request_endpoints) return;
  actions_.call_at(actions_.now() + backoff(longest), [this] { actions_.watch_endpoints(); });
}

Micros EndpointListRefresh::backoff(Micros longest) {
  const Micros interval = parameters_.endpoint_request_interval;
  const Micros bound = interval > 0 ? std::min(interval, kLongestBackoff) : kLongestBackoff;
  const Micros doubled = std::min(bound / 4, kFirstBackoff) << std::min(failures_, kMostDoublings);
  ++failures_;
  const Micros own_delay = parameters_.endpoint_retry_delay;
  if (own_delay > 0) return random_.jittered(std::min(longest, own_delay));
  if (parameters_.relay_count <= kFewRelays) return random_.jittered(std::min({longest, bound / 4, doubled}));
  return random_.delay_up_to(std::min({longest, bound, doubled / kFewRelays * parameters_.relay_count}));
}

}  // namespace cherryrail
