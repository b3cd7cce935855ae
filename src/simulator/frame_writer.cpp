#include "simulator/frame_writer.hpp"

#include <cstring>

namespace cherryrail::simulator {
namespace {

// Below the 65,535 bytes that fit into a text's 16-bit length field.
constexpr std::size_t kMaxTextBytes = 60000;

}  // namespace

void FrameWriter::begin() { frame_.assign(kReplyHeaderBytes, '\0'); }

void FrameWriter::write_text(CommandCode code, std::uint16_t instance, std::string_view text) {
  const std::string_view kept = text.substr(0, kMaxTextBytes);
  write(code, instance, static_cast<std::uint16_t>(kept.size()));
  frame_.append(kept);
}

std::string_view FrameWriter::finish() {
  const auto length = static_cast<std::uint32_t>(frame_.size());
  static_assert(sizeof(length) == kReplyHeaderBytes);
  std::memcpy(frame_.data(), &length, sizeof(length));
  return frame_;
}

}  // namespace cherryrail::simulator
