// The balancer's only source of chance, the same from the same seed.
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
  // A time from 0 to `longest`: spreads what many would do in one moment.
  Micros delay_up_to(Micros longest);
  // A time from half of `longest` to all of it: a backoff with jitter.
  Micros jittered(Micros longest);

 private:
  std::mt19937 engine_;
};

}  // namespace cherryrail
