// Collects the commands of one reply.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>

#include "balancer/time.hpp"
#include "simulator/wire_codes.hpp"

namespace cherryrail::simulator {

// One reply frame at a time: begin, the commands, finish. The buffer is kept from one reply to the next.
class FrameWriter {
 public:
  void begin();
  // A command of the instance with this number; `fields` are of the wire's types, in the wire's order.
  template <class... Fields>
  void write(CommandCode code, std::uint16_t instance, const Fields&... fields) {
    append(code);
    append(instance);
    (append(fields), ...);
  }
  // A command whose one field is a text; what is over the wire's length is cut off.
  void write_text(CommandCode code, std::uint16_t instance, std::string_view text);
  // The whole frame, valid until the next begin.
  std::string_view finish();

 private:
  template <class Field>
  void append(const Field& field) {
    static_assert(std::is_trivially_copyable_v<Field>);
    frame_.append(reinterpret_cast<const char*>(&field), sizeof(field));
  }

  std::string frame_;
};

// A time or duration as the wire has it.
inline double milliseconds_of(Micros time) { return static_cast<double>(time) / 1000; }

}  // namespace cherryrail::simulator
