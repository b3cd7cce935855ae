// The log: lines on standard error, rate-limited per topic.
#pragma once

#include <fmt/format.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <utility>

namespace cherryrail::net {

// The subject of a line; README lists the names used in the log.
enum class Topic : std::uint8_t { lifecycle, connection, balancer, discovery, error };
constexpr std::size_t kTopicCount = 5;

// Writes "SECONDS.MILLISECONDS TOPIC TEXT" lines to standard error. Each topic may write bursts of 500 lines
// and 100 lines per second on average, so that a flood of events does not take time from sessions. Lines over
// the limit are omitted, and the next line that is written states how many. A line that standard error does
// not accept immediately (a full disk, a pipe that nobody reads) is omitted as well: the log neither throws
// nor blocks. A line is cut at 4096 bytes, which a pipe takes whole or not at all. The event loop owns the
// log of its process; it must be used on that thread only.
class Log {
 public:
  // Writes one line; `format` is a format string of the {fmt} library, checked at compile time.
  template <class... Values>
  void write(Topic topic, fmt::format_string<Values...> format, Values&&... values) {
    if (!take_token(topic)) return;
    emit(topic, fmt::format(format, std::forward<Values>(values)...));
  }

  // How many lines standard error has not accepted since startup.
  std::uint64_t lost_lines() const { return lost_lines_; }

 private:
  // Per topic; enough to log every event in normal operation.
  static constexpr double kBurstLines = 500;
  static constexpr double kLinesPerSecond = 100;

  // A token bucket for one topic; each line takes one token.
  struct RateLimit {
    double tokens = kBurstLines;
    double refilled_at = 0;         // in seconds of the steady clock
    std::size_t omitted_lines = 0;  // since the last written line
  };

  // Returns false, and counts the line as omitted, if the topic has no token left.
  bool take_token(Topic topic);
  void emit(Topic topic, std::string_view text);

  std::array<RateLimit, kTopicCount> limits_{};
  std::uint64_t lost_lines_ = 0;
};

}  // namespace cherryrail::net
