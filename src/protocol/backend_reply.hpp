// Parses the lines that a backend sends on a session's connection or in reply to a health check.
#pragma once

#include <cstdint>
#include <string_view>

namespace cherryrail::protocol {

enum class ReplyKind : std::uint8_t { up, bye, move, error, busy, load, pong, other };

struct BackendReply {
  ReplyKind kind = ReplyKind::other;
  std::string_view arguments;  // the text after the first word; points into the parsed line
};

// `line` has no line terminator. An unknown first word gives ReplyKind::other.
BackendReply parse_backend_reply(std::string_view line);

}  // namespace cherryrail::protocol
