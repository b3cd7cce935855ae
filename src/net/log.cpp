#include "net/log.hpp"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <string>

namespace cherryrail::net {
namespace {

constexpr std::array<const char*, kTopicCount> kTopicNames = {"lifecycle", "connection", "balancer",
                                                              "discovery", "error"};
// The rate limit's clock: steps of the wall clock must not stop the log.
double steady_seconds() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration<double>(now).count();
}

double unix_seconds() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration<double>(now).count();
}

// Whether a line can be written without waiting: a pipe whose reader has stopped would hold the relay up.
bool can_write_now(int fd) {
  pollfd target{fd, POLLOUT, 0};
  const int ready = poll(&target, 1, 0);
  if (ready < 0) return true;  // nothing is known: the write will tell
  return ready > 0 && (target.revents & POLLOUT) != 0;
}

// False if the line is lost, in whole or in part.
bool write_line(int fd, std::string_view line) {
  if (!can_write_now(fd)) return false;
  ssize_t written = 0;
  do {
    written = ::write(fd, line.data(), line.size());
  } while (written < 0 && errno == EINTR);
  return written == static_cast<ssize_t>(line.size());
}

}  // namespace

bool Log::is_allowed(Topic topic) {
  RateLimit& limit = limits_[static_cast<std::size_t>(topic)];
  const double now = steady_seconds();
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
  std::size_t& left_out = limits_[index].left_out;
  const std::string note = left_out > 0 ? fmt::format(" ({} lines left out before)", left_out) : "";
  // One call for the whole line: lines of two processes on one stream then do not mix.
  const std::string line = fmt::format("{:.3f} {} {}{}\n", unix_seconds(), kTopicNames[index], text, note);
  if (write_line(STDERR_FILENO, line)) {
    left_out = 0;
    return;
  }
  ++left_out;
  ++lost_lines_;
}

}  // namespace cherryrail::net
