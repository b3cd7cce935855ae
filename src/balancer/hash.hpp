// Hashing that gives the same result in every process, so that relays agree without communication.
#pragma once

#include <cstdint>

namespace cherryrail {

// Mixes all bits of a key with the finalizer of SplitMix64. Inline because every placement hashes every
// backend.
inline std::uint64_t mix_hash(std::uint64_t key) {
  key ^= key >> 30;
  key *= 0xbf58476d1ce4e5b9ULL;
  key ^= key >> 27;
  key *= 0x94d049bb133111ebULL;
  return key ^ (key >> 31);
}

// A pseudo-random number in (0, 1) for a pair of keys, both already mixed or random; the same at every relay.
inline double uniform_draw(std::uint64_t key, std::uint64_t other_key) {
  constexpr int kBitsBeyondMantissa = 11;  // a double holds 53 of the 64 bits
  const std::uint64_t bits = mix_hash(key ^ other_key) >> kBitsBeyondMantissa;
  return (static_cast<double>(bits) + 0.5) * 0x1p-53;
}

}  // namespace cherryrail
