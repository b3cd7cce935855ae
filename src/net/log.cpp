#include "net/log.hpp"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <string>

namespace cherryrail::net {
namespace {

constexpr std::array<const char*, kTopicCount> kTopicNames = {"lifecycle", "connection", "balancer",
                                                              "discovery", "error"};
// Lines of one topic at once, and in the long run: enough to follow a relay's usual day line by line.
constexpr double kBurst = 500;
constexpr double kLinesPerSecond = 100;

double unix_seconds() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration<double>(now).count();
}

}  // namespace

bool Log::is_allowed(Topic topic) {
  RateLimit& limit = limits_[static_cast<std::size_t>(topic)];
  const double now = unix_seconds();
  const double refill = std::max(0.0, now - limit.refilled_at) * kLinesPerSecond;
  limit.lines = std::min(kBurst, limit.lines + refill);
  limit.refilled_at = now;
  if (limit.lines < 1) {
    ++limit.left_out;
    return false;
  }
  limit.lines -= 1;
  return true;
}

void Log::emit(Topic topic, std::string_view text) {
  const auto index = static_cast<std::size_t>(topic);
  const std::size_t left_out = std::exchange(limits_[index].left_out, 0);
  const std::string note = left_out > 0 ? fmt::format(" ({} lines left out before)", left_out) : "";
  // One call for the whole line: lines of two processes on one stream then do not mix.
  fmt::print(stderr, "{:.3f} {} {}{}\n", unix_seconds(), kTopicNames[index], text, note);
}

}  // namespace cherryrail::net
