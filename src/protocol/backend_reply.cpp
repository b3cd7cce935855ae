#include "protocol/backend_reply.hpp"

#include <array>
#include <utility>

#include "protocol/text_fields.hpp"

namespace cherryrail::protocol {
namespace {

constexpr auto kReplyWords =
    std::to_array<std::pair<std::string_view, ReplyKind>>({{"UP", ReplyKind::up},
                                                           {"BYE", ReplyKind::bye},
                                                           {"MOVE", ReplyKind::move},
                                                           {"ERR", ReplyKind::error},
                                                           {"BUSY", ReplyKind::busy},
                                                           {"LOAD", ReplyKind::load},
                                                           {"PONG", ReplyKind::pong}});

}  // namespace

BackendReply parse_backend_reply(std::string_view line) {
  std::string_view arguments = line;
  const std::string_view first_word = take_until(arguments, ' ');
  for (const auto& [word, kind] : kReplyWords) {
    if (first_word == word) return {kind, arguments};
  }
  return {ReplyKind::other, arguments};
}

}  // namespace cherryrail::protocol
