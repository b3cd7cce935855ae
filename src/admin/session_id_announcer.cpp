#include "admin/session_id_announcer.hpp"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <utility>

#include "proxy/handover_message.hpp"

namespace cherryrail::admin {
namespace {

// A message with this many ids has some 70 KB: earlier builds can receive 128 KB.
constexpr std::size_t kIdsPerMessage = 8192;

}  // namespace

void SessionIdAnnouncer::add(std::span<const std::uint64_t> id_hashes) {
  unsent_.insert(unsent_.end(), id_hashes.begin(), id_hashes.end());
}

bool SessionIdAnnouncer::flush(const HandoverChannel& channel) {
  while (!unsent_.empty()) {
    const auto count = static_cast<std::ptrdiff_t>(std::min(kIdsPerMessage, unsent_.size()));
    const auto end = std::next(unsent_.begin(), count);
    proxy::ClaimedSessionIds ids{{unsent_.begin(), end}};
    if (channel.send({std::move(ids)}) == SendResult::try_again) return false;
    // If the other process is gone, the ids are told to the next one when it connects.
    unsent_.erase(unsent_.begin(), end);
  }
  return true;
}

}  // namespace cherryrail::admin
