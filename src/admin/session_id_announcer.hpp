// Tells the relay's other process which session ids this process has claimed.
#pragma once

#include <cstdint>
#include <deque>
#include <span>

#include "admin/handover_channel.hpp"

namespace cherryrail::admin {

// Ids that cannot be sent at once, because the other process does not read, stay queued.
class SessionIdAnnouncer {
 public:
  // Queues ids of SessionIdRegistry to be sent by the next flush().
  void add(std::span<const std::uint64_t> id_hashes);
  // Sends the queued ids. Returns whether none is left; if some are, the caller tries again later.
  bool flush(const HandoverChannel& channel);

 private:
  std::deque<std::uint64_t> unsent_;
};

}  // namespace cherryrail::admin
