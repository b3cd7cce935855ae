// What is wrong with bytes on the simulator's wire.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>

namespace cherryrail::simulator {

// A frame that cannot be played: the adapter has no way to go on behind it, so the process ends. what() is
// the whole message for the reader of the log; the other two are its parts, where they are known.
class WireError : public std::runtime_error {
 public:
  // An error that no single byte stands for.
  explicit WireError(const std::string& problem) : std::runtime_error(problem) {}
  // An error found when `byte` bytes of the frame had been read; `value` is the field's value that is wrong.
  WireError(std::size_t byte, const std::string& problem, std::optional<std::uint64_t> value = std::nullopt)
      : std::runtime_error("at byte " + std::to_string(byte) + " of the batch: " + problem), byte_(byte),
        value_(value) {}

  std::optional<std::size_t> byte() const { return byte_; }
  std::optional<std::uint64_t> value() const { return value_; }

 private:
  std::optional<std::size_t> byte_;
  std::optional<std::uint64_t> value_;
};

}  // namespace cherryrail::simulator
