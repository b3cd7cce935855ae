// The balancer's only source of randomness; deterministic for a given seed.
#pragma once

#include <cstdint>
#include <random>

#include "balancer/time.hpp"

namespace cherryrail {

class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed);

  std::uint32_t number() { return static_cast<std::uint32_t>(engine_()); }
  std::uint64_t key();
  // A uniform delay from 0 to `longest`, to keep many sessions or relays from acting at the same moment.
  Micros delay_up_to(Micros longest);
  // A uniform delay from half of `longest` to `longest`, for a backoff with jitter.
  Micros jittered(Micros longest);

 private:
  std::mt19937 engine_;
};

}  // namespace cherryrail
