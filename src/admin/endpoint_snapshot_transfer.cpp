#include "admin/endpoint_snapshot_transfer.hpp"

#include <algorithm>
#include <utility>

#include "admin/endpoint_snapshot_codec.hpp"

namespace cherryrail::admin {
namespace {

// Earlier builds can receive messages of 128 KB.
constexpr std::size_t kBytesPerPart = 65'536;

}  // namespace

std::vector<proxy::EndpointSnapshotPart> split_endpoint_snapshot(std::string_view bytes) {
  const std::size_t count = (bytes.size() + kBytesPerPart - 1) / kBytesPerPart;
  std::vector<proxy::EndpointSnapshotPart> parts;
  for (std::size_t index = 0; index < count; ++index)
    parts.push_back({index, count, std::string(bytes.substr(index * kBytesPerPart, kBytesPerPart))});
  return parts;
}

void EndpointSnapshotSender::set(std::string_view bytes) {
  parts_ = split_endpoint_snapshot(bytes);
  sent_count_ = 0;
}

bool EndpointSnapshotSender::flush(const HandoverChannel& channel) {
  for (; sent_count_ < parts_.size(); ++sent_count_) {
    // If the other process is gone, the snapshot is sent to the next one when it connects.
    if (channel.send({parts_[sent_count_]}) == SendResult::try_again) return false;
  }
  parts_.clear();
  sent_count_ = 0;
  return true;
}

std::optional<std::string> EndpointSnapshotReceiver::add(const proxy::EndpointSnapshotPart& part) {
  if (part.index == 0) {
    bytes_.clear();
    next_index_ = 0;
    count_ = part.count;
  }
  const bool is_next = part.index == next_index_ && part.count == count_ && part.index < part.count;
  if (!is_next || bytes_.size() + part.bytes.size() > kMaxEndpointSnapshotBytes) {
    bytes_ = {};
    count_ = 0;
    return {};
  }
  bytes_ += part.bytes;
  if (++next_index_ < count_) return {};
  count_ = 0;
  return std::exchange(bytes_, {});
}

}  // namespace cherryrail::admin
