// The encoding of handover messages between two processes, which may run different builds: keys, types and
// order must not change. tests/admin/handover_compatibility_test.cpp has recorded messages of an earlier
// build.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "proxy/handover_message.hpp"

namespace cherryrail::admin {

// Encodes a message as a CBOR map, without the descriptors that are sent with it.
std::vector<std::uint8_t> encode_handover(const proxy::HandoverMessage& message);

// Returns none if the bytes are not a valid message. Implausible waiting times of clients are clamped.
std::optional<proxy::HandoverMessage> decode_handover(std::span<const std::uint8_t> bytes);

}  // namespace cherryrail::admin
