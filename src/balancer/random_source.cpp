#include "balancer/random_source.hpp"

namespace cherryrail {

RandomSource::RandomSource(std::uint64_t seed) : engine_(static_cast<std::uint32_t>(seed ^ (seed >> 32))) {}

std::uint64_t RandomSource::key() {
  const std::uint64_t high = engine_();
  const std::uint64_t low = engine_();
  return (high << 32) | low;
}

Micros RandomSource::delay_up_to(Micros longest) {
  return std::uniform_int_distribution<Micros>(0, longest)(engine_);
}

Micros RandomSource::jittered(Micros longest) {
  const double share = std::uniform_real_distribution(0.5, 1.0)(engine_);
  return static_cast<Micros>(share * static_cast<double>(longest));
}

}  // namespace cherryrail
