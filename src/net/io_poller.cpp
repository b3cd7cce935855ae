#include "net/io_poller.hpp"

#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <string>
#include <utility>

#include "net/event_loop.hpp"
#include "net/startup_retry.hpp"

namespace cherryrail::net {
namespace {

constexpr std::uint32_t kInput = EPOLLIN;
constexpr std::uint32_t kOutput = EPOLLOUT;
constexpr std::uint32_t kHangUpOrError = EPOLLHUP | EPOLLERR;

// The delay before a failed epoll_ctl is retried.
constexpr Micros kUpdateRetryDelay = 5'000;

bool has_any(std::uint32_t events, std::uint32_t wanted) { return (events & wanted) != 0; }

}  // namespace

IoWatch::IoWatch(EventLoop& event_loop, int fd, Callback callback)
    : event_loop_(event_loop), poller_(event_loop.poller_), fd_(fd), callback_(std::move(callback)) {
  poller_.add(*this);
}

IoWatch::~IoWatch() {
  set_interest(false, false);
  poller_.remove(*this);
}

void IoWatch::set_interest(bool wants_input, bool wants_output, bool wants_hang_up) {
  const std::uint32_t input = wants_input ? kInput : 0;
  const std::uint32_t output = wants_output ? kOutput : 0;
  const std::uint32_t hang_up = wants_hang_up ? kHangUpOrError : 0;
  wanted_interest_ = input | output | hang_up;
  if (!poller_.update(*this)) IoPoller::schedule_update_retry(event_loop_);
}

IoPoller::IoPoller() : epoll_(retry_at_startup([] { return FileDescriptor(epoll_create1(EPOLL_CLOEXEC)); })) {
  if (!epoll_)
    throw std::runtime_error(std::string("cannot create an epoll instance: ") + std::strerror(errno));
}

void IoPoller::add(IoWatch& /*watch*/) { ++watch_count_; }

void IoPoller::remove(IoWatch& watch) {
  --watch_count_;
  std::erase(failed_updates_, &watch);
  // The rest of the current batch may still refer to this watch, which a callback has just destroyed.
  for (std::size_t i = batch_position_; i < batch_end_; ++i) {
    if (batch_[i].data.ptr == &watch) batch_[i].data.ptr = nullptr;
  }
}

bool IoPoller::update(IoWatch& watch) {
  const std::uint32_t interest = watch.wanted_interest_;
  if (interest == watch.interest_) return true;
  epoll_event event{};
  event.events = interest;
  event.data.ptr = &watch;
  int operation = EPOLL_CTL_MOD;
  if (watch.interest_ == 0) operation = EPOLL_CTL_ADD;
  // A watch without interest leaves the epoll set, which would otherwise keep reporting a hang-up.
  if (interest == 0) operation = EPOLL_CTL_DEL;
  const bool has_failed = epoll_ctl(epoll_.get(), operation, watch.fd_, &event) != 0;
  if (has_failed && operation != EPOLL_CTL_DEL) {
    failed_updates_.push_back(&watch);
    return false;
  }
  watch.interest_ = interest;
  return true;
}

void IoPoller::schedule_update_retry(EventLoop& event_loop) {
  event_loop.call_at(event_loop.now() + kUpdateRetryDelay,
                     [&event_loop] { event_loop.poller_.retry_failed_updates(event_loop); });
}

void IoPoller::retry_failed_updates(EventLoop& event_loop) {
  bool all_updated = true;
  for (IoWatch* const watch : std::exchange(failed_updates_, {})) all_updated = update(*watch) && all_updated;
  if (!all_updated) schedule_update_retry(event_loop);
}

void IoPoller::wait() {
  const int count = epoll_wait(epoll_.get(), batch_.data(), static_cast<int>(batch_.size()), 0);
  batch_end_ = count > 0 ? static_cast<std::size_t>(count) : 0;
  batch_position_ = 0;
}

std::optional<IoPoller::ReadyIo> IoPoller::next() {
  while (batch_position_ < batch_end_) {
    const epoll_event event = batch_[batch_position_];
    ++batch_position_;
    const auto* watch = static_cast<const IoWatch*>(event.data.ptr);
    if (!watch) continue;
    // The callback detects a hang-up or an error by reading or writing, depending on the watch's interest.
    const bool is_broken = has_any(event.events, kHangUpOrError);
    const std::uint32_t ready = event.events | (is_broken ? watch->interest_ : 0);
    return ReadyIo{watch->callback_, has_any(ready, kInput), has_any(ready, kOutput)};
  }
  batch_end_ = 0;
  return std::nullopt;
}

}  // namespace cherryrail::net
