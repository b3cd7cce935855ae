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

// The clock of the rate limit: steps of the wall clock must not stop the log.
double steady_seconds() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration<double>(now).count();
}

double unix_seconds() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration<double>(now).count();
}

// Whether a write would not block: a pipe whose reader has stopped would otherwise block the relay.
bool can_write_now(int fd) {
  pollfd target{fd, POLLOUT, 0};
  const int ready = poll(&target, 1, 0);
  if (ready < 0) return true;  // unknown: the write reports any error
  return ready > 0 && (target.revents & POLLOUT) != 0;
}

// Returns false if the line is lost, entirely or partly.
bool write_line(int fd, std::string_view line) {
  if (!can_write_now(fd)) return false;
  ssize_t written = 0;
  do {
    written = ::write(fd, line.data(), line.size());
  } while (written < 0 && errno == EINTR);
  return written == static_cast<ssize_t>(line.size());
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
  const std::string line = fmt::format("{:.3f} {} {}{}\n", unix_seconds(), kTopicNames[index], text, note);
  if (write_line(STDERR_FILENO, line)) {
    omitted_lines = 0;
    return;
  }
  ++omitted_lines;
  ++lost_lines_;
}

}  // namespace cherryrail::net
