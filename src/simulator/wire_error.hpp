// The error for malformed input on the simulator's wire.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>

namespace cherryrail::simulator {

// A malformed frame. The adapter cannot find the start of the next valid record, so the process exits. what()
// is the complete message; byte_offset() and value() are the parts of it that are known.
class WireError : public std::runtime_error {
 public:
  // An error without a position in the frame.
  explicit WireError(const std::string& problem) : std::runtime_error(problem) {}
  // An error found after `byte_offset` bytes of the frame were read; `value` is the field's invalid value.
  WireError(std::size_t byte_offset, const std::string& problem,
            std::optional<std::uint64_t> value = std::nullopt)
      : std::runtime_error("at byte " + std::to_string(byte_offset) + " of the batch: " + problem),
        byte_offset_(byte_offset), value_(value) {}

  std::optional<std::size_t> byte_offset() const { return byte_offset_; }
  std::optional<std::uint64_t> value() const { return value_; }

 private:
  std::optional<std::size_t> byte_offset_;
  std::optional<std::uint64_t> value_;
};

}  // namespace cherryrail::simulator
