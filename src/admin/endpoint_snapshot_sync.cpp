#include "admin/endpoint_snapshot_sync.hpp"

#include <algorithm>
#include <string_view>
#include <utility>

#include "admin/endpoint_snapshot_codec.hpp"
#include "admin/state_file.hpp"
#include "net/file_descriptor.hpp"

namespace cherryrail::admin {
namespace {

// No client is served while a snapshot is encoded and written, so larger ones are made less often.
constexpr Micros kIntervalPerMegabyte = kSecond / 2;
constexpr Micros kMegabyte = 1'000'000;
// How soon a file that could not be read, or written, is tried again.
constexpr Micros kReadRetryInterval = kSecond / 50;
constexpr Micros kWriteRetryInterval = kSecond;

}  // namespace

EndpointSnapshotSync::EndpointSnapshotSync(net::EventLoop& event_loop, proxy::ProxyServer& proxy,
                                           std::string path)
    : event_loop_(event_loop), proxy_(proxy), path_(std::move(path)) {
  load();
  proxy_.on_endpoints_changed([this] { schedule_after(min_interval()); });
}

EndpointSnapshotSync::~EndpointSnapshotSync() { proxy_.on_endpoints_changed({}); }

// A brief shortage of descriptors or an error of the disk must not lose what an earlier process was told.
// Once discovery has told this process itself, the file is not needed any more.
void EndpointSnapshotSync::load() {
  if (path_.empty()) return;
  const FileContent file = read_file(path_, kMaxEndpointSnapshotBytes);
  if (file.text) {
    adopt(*file.text);
    return;
  }
  if (file.error == std::errc::no_such_file_or_directory) return;
  if (!std::exchange(has_logged_read_error_, true)) {
    const StorageError error{StorageError::Operation::read, path_, file.error, ""};
    event_loop_.log().write(net::Topic::error, "endpoint list of an earlier process: {}", error.message());
  }
  load_timer_ = net::Timer(event_loop_, event_loop_.now() + kReadRetryInterval, [this] { load(); });
}

std::string EndpointSnapshotSync::encode() const {
  return encode_endpoint_snapshot(proxy_.endpoint_snapshot());
}

void EndpointSnapshotSync::receive(const std::string& bytes) {
  if (adopt(bytes)) store(bytes);
}

bool EndpointSnapshotSync::adopt(const std::string& bytes) {
  // The same snapshot may come from the file, at the connection of the other process and with its state. The
  // header identifies the content.
  const std::string_view header = std::string_view(bytes).substr(0, bytes.find('\n'));
  if (header == adopted_header_) return false;
  const auto snapshot = decode_endpoint_snapshot(bytes);
  if (!snapshot) {
    event_loop_.log().write(net::Topic::error,
                            "endpoint list of another process refused: damaged or of another version");
    return false;
  }
  adopted_header_ = header;
  if (!proxy_.adopt_endpoints(*snapshot)) return false;
  event_loop_.log().write(net::Topic::discovery,
                          "endpoint list of another process applied: version {}, {} backends",
                          snapshot->list.version, snapshot->list.entries.size());
  return true;
}

Micros EndpointSnapshotSync::min_interval() const {
  return kIntervalPerMegabyte * static_cast<Micros>(published_bytes_) / kMegabyte;
}

void EndpointSnapshotSync::schedule_after(Micros interval) {
  if (std::exchange(is_changed_, true)) return;
  const Micros when = std::max(event_loop_.now(), published_at_ + interval);
  timer_ = net::Timer(event_loop_, when, [this] { publish(); });
}

void EndpointSnapshotSync::publish() {
  load_timer_.cancel();
  is_changed_ = false;
  published_at_ = event_loop_.now();
  const std::string bytes = encode();
  published_bytes_ = bytes.size();
  if (on_snapshot_) on_snapshot_(bytes);
  store(bytes);
}

void EndpointSnapshotSync::store(const std::string& bytes) {
  if (path_.empty()) return;
  // Another process of this relay may store its list at the same time.
  const net::FileDescriptor lock = lock_file(path_ + ".lock");
  const std::error_code error = replace_file(path_, bytes, FileSync::none);
  const bool is_new_error = error != std::exchange(error_, error);
  if (!error) return;
  if (is_new_error) {
    const StorageError write_error{StorageError::Operation::write, path_, error, ""};
    event_loop_.log().write(net::Topic::error, "endpoint list not stored: {}", write_error.message());
  }
  schedule_after(kWriteRetryInterval);
}

}  // namespace cherryrail::admin
