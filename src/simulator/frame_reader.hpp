// Reads the fields of one frame in the order in which they lie there.
#pragma once

#include <cstddef>
#include <cstdint>
#include <cstring>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>

#include "balancer/time.hpp"
#include "simulator/wire_codes.hpp"
#include "simulator/wire_error.hpp"

namespace cherryrail::simulator {

// A position in a frame. The bytes belong to the caller and have to outlive the reader. Every read throws
// WireError, naming the field, where the frame ends before the field does.
class FrameReader {
 public:
  explicit FrameReader(std::string_view frame) : frame_(frame) {}

  // The next field, of a number type of the wire.
  template <class Value>
  Value read(const char* field) {
    static_assert(std::is_trivially_copyable_v<Value>);
    Value value;
    std::memcpy(&value, read_bytes(sizeof(Value), field).data(), sizeof(Value));
    return value;
  }
  std::string_view read_bytes(std::size_t length, const char* field);
  // A time or duration, in milliseconds on the wire; throws WireError where it is too large to reckon with.
  Micros read_time(const char* field);
  // Passes over a field that the balancer has no use for.
  template <class Value>
  void skip(const char* field) {
    read_bytes(sizeof(Value), field);
  }
  void skip_rest() { position_ = frame_.size(); }

  std::size_t remaining() const { return frame_.size() - position_; }
  // Throws WireError at the present position.
  [[noreturn]] void fail(const std::string& problem, std::optional<std::uint64_t> value = std::nullopt) const;
  // Throws WireError for a code that the wire does not define: "unknown <what> <code>".
  [[noreturn]] void fail_unknown(const char* what, std::uint64_t code) const;

 private:
  std::string_view frame_;
  std::size_t position_ = 0;
};

}  // namespace cherryrail::simulator
