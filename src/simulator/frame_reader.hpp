// Sequential reader for the fields of one frame.
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

// Tracks the read position in a frame. The caller owns the bytes, which must outlive the reader. Every read
// throws a WireError that names the field if the frame ends before the field does.
class FrameReader {
 public:
  explicit FrameReader(std::string_view frame) : frame_(frame) {}

  // Reads the next field; `Value` is the field's numeric type on the wire.
  template <class Value>
  Value read(const char* field) {
    static_assert(std::is_trivially_copyable_v<Value>);
    Value value;
    std::memcpy(&value, read_bytes(sizeof(Value), field).data(), sizeof(Value));
    return value;
  }
  std::string_view read_bytes(std::size_t length, const char* field);
  // Reads a time or duration, which is a double in milliseconds on the wire. Throws WireError if it is NaN or
  // so large that sums of times could overflow.
  Micros read_time(const char* field);
  // Skips a field that the balancer does not use.
  template <class Value>
  void skip(const char* field) {
    read_bytes(sizeof(Value), field);
  }
  void skip_rest() { position_ = frame_.size(); }

  std::size_t remaining() const { return frame_.size() - position_; }
  // Throws a WireError for the current position; `value` is the field's invalid value.
  [[noreturn]] void fail(const std::string& problem, std::optional<std::uint64_t> value = std::nullopt) const;
  // Throws WireError for a code that the wire does not define: "unknown <what> <code>".
  [[noreturn]] void fail_unknown(const char* what, std::uint64_t code) const;

 private:
  std::string_view frame_;
  std::size_t position_ = 0;
};

}  // namespace cherryrail::simulator
