// Hashing that gives the same result in every process, so that relays agree without talking to each other.
#pragma once

#include <cstdint>

namespace cherryrail {

// Mixes all bits of a key: the finalizer of SplitMix64. Inline, since every backend is hashed for every
// placement.
inline std::uint64_t mix_hash(std::uint64_t key) {
  key ^= key >> 30;
  key *= 0xbf58476d1ce4e5b9ULL;
  key ^= key >> 27;
  key *= 0x94d049bb133111ebULL;
  return key ^ (key >> 31);
}

// A number in (0, 1), drawn for a key at a place (both already mixed or random); the same at every relay.
inline double uniform_draw(std::uint64_t key, std::uint64_t place) {
  constexpr int kBitsNotInMantissa = 11;  // of 64, a double holds 53
  const std::uint64_t bits = mix_hash(key ^ place) >> kBitsNotInMantissa;
  return (static_cast<double>(bits) + 0.5) * 0x1p-53;
}

}  // namespace cherryrail
