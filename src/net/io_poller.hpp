// Which descriptors are ready: an epoll set and the watches in it.
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

// Calls back when a descriptor can be read or written, as long as it can (level-triggered). The watch ends
// with the object, which has to go before the descriptor is closed and before the loop.
class IoWatch {
 public:
  using Callback = std::function<void(bool is_readable, bool is_writable)>;

  // Wants nothing at first.
  IoWatch(EventLoop& event_loop, int fd, Callback callback);
  ~IoWatch();
  IoWatch(const IoWatch&) = delete;
  IoWatch& operator=(const IoWatch&) = delete;

  // Holds from now on, or from soon after where the system has no memory for it just now.
  void set_interest(bool wants_input, bool wants_output);

 private:
  friend class IoPoller;

  EventLoop& event_loop_;
  IoPoller& poller_;
  int fd_;
  Callback callback_;
  std::uint32_t wanted_interest_ = 0;  // epoll's bits
  std::uint32_t interest_ = 0;         // those that the kernel knows
};

// The epoll set of one event loop. The loop calls wait and then takes what is ready with next, one at a time:
// between two of these any watch may come or go.
class IoPoller {
 public:
  struct ReadyIo {
    IoWatch::Callback callback;  // a copy: the watch may go while it is called
    bool is_readable = false;
    bool is_writable = false;
  };

  // Throws std::runtime_error.
  IoPoller();
  IoPoller(const IoPoller&) = delete;
  IoPoller& operator=(const IoPoller&) = delete;
  ~IoPoller() = default;

  // Readable whenever any watch is ready.
  int descriptor() const { return epoll_.get(); }
  std::size_t watch_count() const { return watch_count_; }

  // Fetches a batch of what is ready, without waiting.
  void wait();
  // The next of the batch; nothing at its end.
  std::optional<ReadyIo> next();

 private:
  friend class IoWatch;

  void add(IoWatch& watch);
  void remove(IoWatch& watch);
  // False if the kernel refused; update_outdated() is to be called then.
  bool update(IoWatch& watch);
  void update_outdated(EventLoop& event_loop);
  static void schedule_update(EventLoop& event_loop);

  // More than the sockets that are ready in one round at full load; the rest comes with the next round.
  static constexpr std::size_t kBatchSize = 256;

  FileDescriptor epoll_;
  std::array<epoll_event, kBatchSize> batch_{};
  std::size_t batch_end_ = 0;
  std::size_t batch_position_ = 0;
  std::size_t watch_count_ = 0;
  std::vector<IoWatch*> outdated_;  // whose interest the kernel does not know yet
};

}  // namespace cherryrail::net
