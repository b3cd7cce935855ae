// When discovery is asked for the endpoint list again after a failure.
#pragma once

#include "balancer/actions.hpp"
#include "balancer/parameters.hpp"
#include "balancer/random_source.hpp"

namespace cherryrail {

// Discovery is one service: asked by many relays as soon as by a few, it serves no call before the caller has
// given up. So the backoff grows with the number of relays and is spread. Where discovery serves this relay
// alone, it is asked at once, for what it has to tell counts as told.
class EndpointListRefresh {
 public:
  EndpointListRefresh(BalancerActions& actions, const BalancerParameters& parameters, RandomSource& random)
      : actions_(actions), parameters_(parameters), random_(random) {}

  void on_updated() { failures_ = 0; }
  // Asks again after a backoff, `longest` at most.
  void on_failed(Micros longest);

 private:
  static constexpr Micros kFirstBackoff = kSecond / 4;  // where few relays ask
  static constexpr unsigned kFewRelays = 4;             // so many do not crowd discovery
  static constexpr unsigned kMostDoublings = 6;
  // Of the six seconds after which a change counts as told; the call has the other two.
  static constexpr Micros kLongestBackoff = 4 * kSecond;

  Micros backoff(Micros longest);

  BalancerActions& actions_;
  const BalancerParameters& parameters_;
  RandomSource& random_;
  unsigned failures_ = 0;  // in a row
};

}  // namespace cherryrail
