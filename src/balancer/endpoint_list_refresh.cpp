#include "balancer/endpoint_list_refresh.hpp"

#include <algorithm>

namespace cherryrail {

void EndpointListRefresh::on_failed(Micros max_delay) {
  if (!parameters_.must_request_endpoints) return;
  actions_.call_at(actions_.now() + backoff(max_delay), [this] { actions_.watch_endpoints(); });
}

Micros EndpointListRefresh::answer_timeout(Micros initial, unsigned unanswered) {
  return std::min(initial << std::min(unanswered, kMaxDoublings), kSlowCallDuration);
}

// The next call has to be answered before the list is too old, even if discovery is slow. If that call fails
// as well, there may still be time for one more that is answered as usual. Beyond, what discovery tells once
// it can be reached again has to arrive in time.
Micros EndpointListRefresh::max_retry_delay(Micros list_age, unsigned failures) {
  constexpr Micros kSlowCallAge = kMaxListAge - kSlowCallDuration;
  constexpr Micros kUsualCallAge = kMaxListAge - kUsualCallDuration;
  if (failures <= 1 && list_age < kSlowCallAge) return std::max(kSlowCallAge - list_age, kMinFirstRetryLimit);
  if (failures <= 2 && list_age < kUsualCallAge)
    return std::max(kUsualCallAge - list_age, kMinSecondRetryLimit);
  return kSlowCallAge;
}

Micros EndpointListRefresh::backoff(Micros max_delay) {
  const Micros interval = parameters_.endpoint_request_interval;
  const Micros max_backoff = interval > 0 ? std::min(interval, kMaxBackoff) : kMaxBackoff;
  const Micros doubled = std::min(max_backoff / 4, kInitialBackoff)
                         << std::min(consecutive_failures_, kMaxDoublings);
  ++consecutive_failures_;
  const Micros agent_delay = parameters_.endpoint_retry_delay;
  if (agent_delay > 0) return random_.jittered(std::min(max_delay, agent_delay));
  if (parameters_.relay_count <= kUnscaledRelays)
    return random_.jittered(std::min({max_delay, max_backoff / 4, doubled}));
  return random_.delay_up_to(
      std::min({max_delay, max_backoff, doubled / kUnscaledRelays * parameters_.relay_count}));
}

}  // namespace cherryrail
