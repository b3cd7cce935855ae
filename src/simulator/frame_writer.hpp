// Encodes the commands of one reply.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>

#include "balancer/time.hpp"
#include "simulator/wire_codes.hpp"

namespace cherryrail::simulator {

// Builds one reply frame at a time: begin(), the commands, finish(). The buffer is reused for the next reply.
class FrameWriter {
 public:
  void begin();
  // Appends a command of this instance; `fields` must have the wire's types and order.
  template <class... Fields>
  void write(CommandCode code, std::uint16_t instance, const Fields&... fields) {
    append(code);
    append(instance);
    (append(fields), ...);
  }
  // Appends a command whose only field is a text; a text that is too long for the wire is truncated.
  void write_text(CommandCode code, std::uint16_t instance, std::string_view text);
  // Completes the header and returns the whole frame, which is valid until the next begin().
  std::string_view finish();

 private:
  template <class Field>
  void append(const Field& field) {
    static_assert(std::is_trivially_copyable_v<Field>);
    frame_.append(reinterpret_cast<const char*>(&field), sizeof(field));
  }

  std::string frame_;
};

// Converts a time or duration to the wire's unit.
inline double wire_milliseconds(Micros time) { return static_cast<double>(time) / 1000; }

}  // namespace cherryrail::simulator
