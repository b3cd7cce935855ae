// Requests the endpoint list again after discovery failed, with backoff.
#pragma once

#include "balancer/actions.hpp"
#include "balancer/parameters.hpp"
#include "balancer/random_source.hpp"

namespace cherryrail {

// All relays share one discovery service. If many relays retried as soon as a few may, the service would
// answer no call before its timeout. So the backoff grows with the number of relays and has random jitter. A
// discovery agent that serves this relay alone is asked again after a short delay (`endpoint_retry_delay`),
// because the relay is expected to know every change that its own agent knows.
class EndpointListRefresh {
 public:
  EndpointListRefresh(BalancerActions& actions, const BalancerParameters& parameters, RandomSource& random)
      : actions_(actions), parameters_(parameters), random_(random) {}

  void on_updated() { consecutive_failures_ = 0; }
  // Watches the endpoint list again after a backoff of at most `max_delay`.
  void on_failed(Micros max_delay);

 private:
  static constexpr Micros kInitialBackoff = kSecond / 4;  // for up to kUnscaledRelays relays
  static constexpr unsigned kUnscaledRelays = 4;          // so few do not overload discovery
  static constexpr unsigned kMaxDoublings = 6;
  // A relay must know a change within six seconds of discovery having it, and the call may take two of them.
  static constexpr Micros kMaxBackoff = 4 * kSecond;

  Micros backoff(Micros max_delay);

  BalancerActions& actions_;
  const BalancerParameters& parameters_;
  RandomSource& random_;
  unsigned consecutive_failures_ = 0;
};

}  // namespace cherryrail
