// Readiness of descriptors: an epoll set and its watches.
#pragma once

#include <sys/epoll.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "net/file_descriptor.hpp"

namespace cherryrail::net {

class EventLoop;
class IoPoller;

// Calls back whenever a descriptor is readable or writable (level-triggered). The object must be destroyed
// before the descriptor is closed and before the event loop.
class IoWatch {
 public:
  using Callback = std::function<void(bool is_readable, bool is_writable)>;

  // Initially without interest.
  IoWatch(EventLoop& event_loop, int fd, Callback callback);
  ~IoWatch();
  IoWatch(const IoWatch&) = delete;
  IoWatch& operator=(const IoWatch&) = delete;

  // Takes effect immediately, or after a retry if the kernel temporarily lacks the memory. With
  // `wants_hang_up`, a hang-up or an error is reported although neither input nor output is wanted: the
  // callback is then called with false twice.
  void set_interest(bool wants_input, bool wants_output, bool wants_hang_up = false);

 private:
  friend class IoPoller;

  EventLoop& event_loop_;
  IoPoller& poller_;
  int fd_;
  Callback callback_;
  std::uint32_t wanted_interest_ = 0;  // epoll event bits
  std::uint32_t interest_ = 0;         // the bits last set in the kernel
};

// The epoll set of one event loop. The loop calls wait(), then next() for each ready descriptor; watches may
// be created and destroyed between these calls.
class IoPoller {
 public:
  struct ReadyIo {
    IoWatch::Callback callback;  // a copy: the call may destroy the watch
    bool is_readable = false;
    bool is_writable = false;
  };

  // Throws std::runtime_error.
  IoPoller();
  IoPoller(const IoPoller&) = delete;
  IoPoller& operator=(const IoPoller&) = delete;
  ~IoPoller() = default;

  // A descriptor that is readable whenever any watch is ready.
  int descriptor() const { return epoll_.get(); }
  std::size_t watch_count() const { return watch_count_; }

  // Fetches a batch of ready descriptors without blocking.
  void wait();
  // The next ready descriptor of the batch; empty at its end.
  std::optional<ReadyIo> next();

 private:
  friend class IoWatch;

  void add(IoWatch& watch);
  void remove(IoWatch& watch);
  // Returns false if the kernel rejected the change; retry_failed_updates() must then be called.
  bool update(IoWatch& watch);
  void retry_failed_updates(EventLoop& event_loop);
  static void schedule_update_retry(EventLoop& event_loop);

  // More than the sockets that are ready in one iteration at full load; any others follow in the next one.
  static constexpr std::size_t kBatchSize = 256;

  FileDescriptor epoll_;
  std::array<epoll_event, kBatchSize> batch_{};
  std::size_t batch_end_ = 0;
  std::size_t batch_position_ = 0;
  std::size_t watch_count_ = 0;
  std::vector<IoWatch*> failed_updates_;  // watches whose interest is not set in the kernel yet
};

}  // namespace cherryrail::net
