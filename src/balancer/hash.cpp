#include "balancer/hash.hpp"

namespace cherryrail {

std::uint64_t mix_hash(std::uint64_t key) {
  key ^= key >> 30;
  key *= 0xbf58476d1ce4e5b9ULL;
  key ^= key >> 27;
  key *= 0x94d049bb133111ebULL;
  return key ^ (key >> 31);
}

double uniform_draw(std::uint64_t key, std::uint64_t place) {
  constexpr int kBitsNotInMantissa = 11;  // of 64, a double holds 53
  const std::uint64_t bits = mix_hash(key ^ place) >> kBitsNotInMantissa;
  return (static_cast<double>(bits) + 0.5) * 0x1p-53;
}

}  // namespace cherryrail
