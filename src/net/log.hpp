// The log: lines on standard error, with a limit on the rate of each topic.
#pragma once

#include <fmt/format.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <utility>

namespace cherryrail::net {

// What a line is about; README lists the names as they stand in the log.
enum class Topic : std::uint8_t { lifecycle, connection, balancer, discovery, error };
constexpr std::size_t kTopicCount = 5;

// Writes "SECONDS.MILLISECONDS TOPIC TEXT" lines to standard error. Each topic may write a burst of 500 lines
// and 100 a second in the long run, so that a storm of events does not cost the time that sessions need; what
// is over the rate is counted, and the next line that gets through tells how many were left out. A line that
// standard error does not take at once (a full disk, a pipe that nobody reads) is left out as well: the log
// neither throws nor waits. The event
// loop owns the log of its process; it is used from that thread alone.
class Log {
 public:
  // Writes one line; `form` is a format string of the {fmt} library, checked when it is compiled.
  template <class... Values>
  void write(Topic topic, fmt::format_string<Values...> form, Values&&... values) {
    if (!is_allowed(topic)) return;
    emit(topic, fmt::format(form, std::forward<Values>(values)...));
  }

  // Lines that standard error has not taken since the start.
  std::uint64_t lost_lines() const { return lost_lines_; }

 private:
  // Lines of one topic at once, and in the long run: enough to follow a relay's usual day line by line.
  static constexpr double kBurst = 500;
  static constexpr double kLinesPerSecond = 100;

  // A token bucket for one topic.
  struct RateLimit {
    double lines = kBurst;     // that may be written now
    double refilled_at = 0;    // in seconds of the steady clock
    std::size_t left_out = 0;  // lines since the last one that got through
  };

  bool is_allowed(Topic topic);
  void emit(Topic topic, std::string_view text);

  std::array<RateLimit, kTopicCount> limits_{};
  std::uint64_t lost_lines_ = 0;
};

}  // namespace cherryrail::net
