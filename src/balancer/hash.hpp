// Hashing that gives the same result in every process, so that relays agree without talking to each other.
#pragma once

#include <cstdint>

namespace cherryrail {

// Mixes all bits of a key: the finalizer of SplitMix64.
std::uint64_t mix_hash(std::uint64_t key);

// A number in (0, 1), drawn for a key at a place (both already mixed or random); the same at every relay.
double uniform_draw(std::uint64_t key, std::uint64_t place);

}  // namespace cherryrail
