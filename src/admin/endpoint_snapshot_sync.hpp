// Keeps what this process has been told of its backends ready for the process that takes its place.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <system_error>

#include "net/event_loop.hpp"
#include "net/timer.hpp"
#include "proxy/proxy_server.hpp"

namespace cherryrail::admin {

// Applies the snapshot that an earlier process has stored, and stores a new one after changes: at once, but
// seldom enough that snapshots of many backends leave time for clients. So the snapshot reaches the next
// process also if this one is killed. A file that cannot be written is tried again.
class EndpointSnapshotSync {
 public:
  // With an empty path, the snapshot is not stored.
  EndpointSnapshotSync(net::EventLoop& event_loop, proxy::ProxyServer& proxy, std::string path);
  ~EndpointSnapshotSync();
  EndpointSnapshotSync(const EndpointSnapshotSync&) = delete;
  EndpointSnapshotSync& operator=(const EndpointSnapshotSync&) = delete;
  EndpointSnapshotSync(EndpointSnapshotSync&&) = delete;
  EndpointSnapshotSync& operator=(EndpointSnapshotSync&&) = delete;

  // Calls `callback` with each new encoded snapshot.
  using OnSnapshot = std::function<void(const std::string& bytes)>;
  void on_snapshot(OnSnapshot callback) { on_snapshot_ = std::move(callback); }
  // The snapshot of what this process knows now, encoded.
  [[nodiscard]] std::string encode() const;
  // Applies an encoded snapshot of another process, unless this process knows a newer list, and stores it:
  // the other process may have failed to.
  void receive(const std::string& bytes);

  // Whether the latest snapshot is in the file.
  [[nodiscard]] bool is_stored() const { return !is_changed_ && !error_; }

 private:
  void load();
  // Returns whether the snapshot was applied.
  bool adopt(const std::string& bytes);
  [[nodiscard]] Micros min_interval() const;
  void schedule_after(Micros interval);
  void publish();
  void store(const std::string& bytes);

  net::EventLoop& event_loop_;
  proxy::ProxyServer& proxy_;
  const std::string path_;
  OnSnapshot on_snapshot_;
  std::error_code error_;       // of the latest write
  bool is_changed_ = false;     // since the latest snapshot
  std::string adopted_header_;  // of the latest snapshot from another process
  Micros published_at_ = 0;
  std::size_t published_bytes_ = 0;
  bool has_logged_read_error_ = false;
  net::Timer load_timer_;  // for the next attempt to read the file
  net::Timer timer_;       // for the next snapshot
};

}  // namespace cherryrail::admin
