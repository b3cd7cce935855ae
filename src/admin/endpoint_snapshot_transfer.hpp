// Transfers an encoded endpoint snapshot between the two processes of a hot restart, in parts.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "admin/handover_channel.hpp"
#include "proxy/handover_message.hpp"

namespace cherryrail::admin {

// Splits an encoded snapshot into parts that earlier builds can receive, too; they ignore them.
std::vector<proxy::EndpointSnapshotPart> split_endpoint_snapshot(std::string_view bytes);

// Sends the latest snapshot to one process. Parts that cannot be sent at once, because the other process does
// not read, stay queued.
class EndpointSnapshotSender {
 public:
  // Queues a snapshot to be sent by the next flush(), in place of what is left of an earlier one.
  void set(std::string_view bytes);
  // Sends the queued parts. Returns whether none is left; if some are, the caller tries again later.
  bool flush(const HandoverChannel& channel);

 private:
  std::vector<proxy::EndpointSnapshotPart> parts_;
  std::size_t sent_count_ = 0;
};

// Puts the parts from one process together.
class EndpointSnapshotReceiver {
 public:
  // Returns the encoded snapshot with its last part. A part out of order discards the snapshot.
  std::optional<std::string> add(const proxy::EndpointSnapshotPart& part);

 private:
  std::string bytes_;
  std::size_t next_index_ = 0;
  std::size_t count_ = 0;
};

}  // namespace cherryrail::admin
