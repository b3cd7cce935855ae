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
// is over the rate is counted, and the next line that gets through tells how many were left out. The event
// loop owns the log of its process; it is used from that thread alone.
class Log {
 public:
  // Writes one line; `form` is a format string of the {fmt} library, checked when it is compiled.
  template <class... Values>
  void write(Topic topic, fmt::format_string<Values...> form, Values&&... values) {
    if (!is_allowed(topic)) return;
    emit(topic, fmt::format(form, std::forward<Values>(values)...));
  }

 private:
  // A token bucket for one topic.
  struct RateLimit {
    double lines = 0;          // that may be written now
    double refilled_at = 0;    // in seconds of Unix time; at first so long ago that the bucket fills up
    std::size_t left_out = 0;  // lines since the last one that got through
  };

  bool is_allowed(Topic topic);
  void emit(Topic topic, std::string_view text);

  std::array<RateLimit, kTopicCount> limits_{};
};

}  // namespace cherryrail::net
