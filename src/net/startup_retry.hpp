// Retries for resources that may be temporarily unavailable when the process starts.
#pragma once

#include <poll.h>

namespace cherryrail::net {

// Calls `make` until its result is true, every 20 ms for at most three seconds, and returns the last result.
// A shortage of descriptors or buffers is usually brief, and a process that gave up would serve no clients.
// Blocks, so it must only be used before the event loop runs.
template <class Make>
auto retry_at_startup(const Make& make) {
  constexpr int kMaxAttempts = 150;
  constexpr int kRetryIntervalMilliseconds = 20;
  auto result = make();
  for (int attempt = 1; attempt < kMaxAttempts && !result; ++attempt) {
    poll(nullptr, 0, kRetryIntervalMilliseconds);
    result = make();
  }
  return result;
}

}  // namespace cherryrail::net
