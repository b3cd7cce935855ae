// Decides when the endpoint list is requested again: after a failure, or beside a request without an answer.
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

  // How long a request may remain without an answer before another is sent beside it. Discovery answers
  // requests one by one, so the first stays open: the next one would only begin the same wait anew. But the
  // first may also have been lost. `initial` applies to the first request; each of the `unanswered` requests
  // before this one doubles it, so that a slow discovery gets few requests.
  static Micros answer_timeout(Micros initial, unsigned unanswered);
  // The longest delay until the list is requested again, if it was last known to be current `list_age` ago
  // and `failures` requests in a row have failed since, or the watch and the requests after it.
  static Micros max_retry_delay(Micros list_age, unsigned failures);

 private:
  static constexpr Micros kInitialBackoff = kSecond / 4;  // for up to kUnscaledRelays relays
  static constexpr unsigned kUnscaledRelays = 4;          // so few do not overload discovery
  static constexpr unsigned kMaxDoublings = 6;
  // A relay must know a change this long after discovery has it and can be reached.
  static constexpr Micros kMaxListAge = 6 * kSecond;
  // The time for a call until discovery answers or fails it: while it is crowded, and usually.
  static constexpr Micros kSlowCallDuration = 3 * kSecond;
  static constexpr Micros kUsualCallDuration = kSecond;
  // The shortest limits, even for an older list, so that discovery is not asked too often.
  static constexpr Micros kMinFirstRetryLimit = kSecond / 5;
  static constexpr Micros kMinSecondRetryLimit = kSecond;
  static constexpr Micros kMaxBackoff = 4 * kSecond;

  Micros backoff(Micros max_delay);

  BalancerActions& actions_;
  const BalancerParameters& parameters_;
  RandomSource& random_;
  unsigned consecutive_failures_ = 0;
};

}  // namespace cherryrail
