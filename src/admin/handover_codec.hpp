// The form of handover messages between two processes. Both may be of different builds: keys, types and order
// stay as they are. tests/admin/handover_compatibility_test.cpp holds recorded bytes of an earlier build.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "proxy/handover_message.hpp"

namespace cherryrail::admin {

// A CBOR map; the sockets that go along are not part of it.
std::vector<std::uint8_t> encode_handover(const proxy::HandoverMessage& message);

// None if the bytes are not a message of this form. Times that a client cannot have waited are cut.
std::optional<proxy::HandoverMessage> decode_handover(std::span<const std::uint8_t> bytes);

}  // namespace cherryrail::admin
