// What a process needs at its start and may not get at once.
#pragma once

#include <poll.h>

namespace cherryrail::net {

// Calls `make` until its result is true, 20 ms apart and for three seconds at most, and returns the last
// result. A system that is short of descriptors or buffers is so for a moment; a process that gave up would
// serve nobody. It waits, so it is only for the time before the event loop runs.
template <class Make>
auto retry_at_startup(const Make& make) {
  constexpr int kAttempts = 150;
  constexpr int kPauseMilliseconds = 20;
  auto result = make();
  for (int attempt = 1; attempt < kAttempts && !result; ++attempt) {
    poll(nullptr, 0, kPauseMilliseconds);
    result = make();
  }
  return result;
}

}  // namespace cherryrail::net
