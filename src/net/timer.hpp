// A call scheduled on the event loop that is cancelled together with its owner.
#pragma once

#include <utility>

#include "net/event_loop.hpp"

namespace cherryrail::net {

// Owned by the object that the callback uses. Destruction and assignment cancel the call unless it has been
// made. The event loop must outlive the timer.
class Timer {
 public:
  Timer() = default;
  // Calls `callback` at `when`.
  Timer(EventLoop& event_loop, Micros when, EventLoop::Callback callback)
      : event_loop_(&event_loop), id_(event_loop.call_at(when, std::move(callback))) {}
  ~Timer() { cancel(); }
  Timer(Timer&& other) noexcept : event_loop_(std::exchange(other.event_loop_, nullptr)), id_(other.id_) {}
  Timer& operator=(Timer&& other) noexcept {
    std::swap(event_loop_, other.event_loop_);
    std::swap(id_, other.id_);
    other.cancel();
    return *this;
  }
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  void cancel() {
    if (EventLoop* const event_loop = std::exchange(event_loop_, nullptr)) event_loop->cancel_call(id_);
  }

 private:
  EventLoop* event_loop_ = nullptr;
  TimerId id_;
};

}  // namespace cherryrail::net
