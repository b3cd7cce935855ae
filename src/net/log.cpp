#include "net/log.hpp"

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <string_view>

#include "net/nonblocking_write.hpp"

namespace cherryrail::net {
namespace {

constexpr std::array<const char*, kTopicCount> kTopicNames = {"lifecycle", "connection", "balancer",
                                                              "discovery", "error"};

// The clock of the rate limit: steps of the wall clock must not stop the log.
double steady_seconds() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration<double>(now).count();
}

double unix_seconds() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration<double>(now).count();
}

// Cuts a text that is longer than `max_size` bytes, and marks it as cut.
void limit_size(std::string& text, std::size_t max_size) {
  constexpr std::string_view kCutMark = "...";
  if (text.size() <= max_size) return;
  text.resize(max_size - kCutMark.size());
  text += kCutMark;
}

}  // namespace

bool Log::take_token(Topic topic) {
  RateLimit& limit = limits_[static_cast<std::size_t>(topic)];
  const double now = steady_seconds();
  const double refill = std::max(0.0, now - limit.refilled_at) * kLinesPerSecond;
  limit.tokens = std::min(kBurstLines, limit.tokens + refill);
  limit.refilled_at = now;
  if (limit.tokens < 1) {
    ++limit.omitted_lines;
    return false;
  }
  limit.tokens -= 1;
  return true;
}

void Log::emit(Topic topic, std::string_view text) {
  const auto index = static_cast<std::size_t>(topic);
  std::size_t& omitted_lines = limits_[index].omitted_lines;
  const std::string note = omitted_lines > 0 ? fmt::format(" ({} lines left out before)", omitted_lines) : "";
  // A single write for the whole line, so that the lines of two processes on one stream do not mix.
  std::string line = fmt::format("{:.3f} {} {}", unix_seconds(), kTopicNames[index], text);
  limit_size(line, kMaxAtomicWrite - note.size() - 1);
  line += note + '\n';
  if (write_without_waiting(STDERR_FILENO, line)) {
    omitted_lines = 0;
    return;
  }
  ++omitted_lines;
  ++lost_lines_;
}

}  // namespace cherryrail::net
