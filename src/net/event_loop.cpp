#include "net/event_loop.hpp"

#include <sys/signalfd.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstring>
#include <exception>
#include <stdexcept>
#include <utility>

namespace cherryrail::net {
namespace {

template <class Clock>
Micros micros_of() {
  return std::chrono::duration_cast<std::chrono::microseconds>(Clock::now().time_since_epoch()).count();
}

}  // namespace

struct EventLoop::Source {
  GSource base;
  EventLoop* event_loop;
};

IoWatch::IoWatch(EventLoop& event_loop, int fd, Ready ready)
    : event_loop_(event_loop), fd_(fd), ready_(std::move(ready)) {
  ++event_loop_.sockets_;
}

IoWatch::~IoWatch() {
  set_interest(false, false);
  --event_loop_.sockets_;
  // Danger: what has just been closed may stand further on in the batch under way.
  for (std::size_t i = event_loop_.batch_at_; i < event_loop_.batch_size_; ++i) {
    if (event_loop_.batch_[i].data.ptr == this) event_loop_.batch_[i].data.ptr = nullptr;
  }
}

void IoWatch::set_interest(bool read, bool write) {
  const std::uint32_t wanted = (read ? std::uint32_t{EPOLLIN} : 0U) | (write ? std::uint32_t{EPOLLOUT} : 0U);
  if (wanted == wanted_) return;
  epoll_event event{};
  event.events = wanted;
  event.data.ptr = this;
  // One that wants nothing leaves the set: its hang-up would be reported without end.
  const int what = wanted == 0 ? EPOLL_CTL_DEL : wanted_ == 0 ? EPOLL_CTL_ADD : EPOLL_CTL_MOD;
  epoll_ctl(event_loop_.epoll_, what, fd_, &event);
  wanted_ = wanted;
}

EventLoop::EventLoop()
    : main_(g_main_loop_new(nullptr, FALSE)), socket_funcs_{nullptr, nullptr, &EventLoop::dispatch_sockets,
                                                            nullptr, nullptr, nullptr},
      alarm_funcs_{nullptr, nullptr, &EventLoop::dispatch_alarms, nullptr, nullptr, nullptr},
      epoll_(epoll_create1(EPOLL_CLOEXEC)),
      offset_(micros_of<std::chrono::system_clock>() - micros_of<std::chrono::steady_clock>()) {
  if (epoll_ < 0) throw std::runtime_error(std::string("epoll: ") + std::strerror(errno));
  // GLib's own poll walks every socket at every turn; so it is given one descriptor that stands for all.
  socket_source_ = g_source_new(&socket_funcs_, sizeof(Source));
  alarm_source_ = g_source_new(&alarm_funcs_, sizeof(Source));
  // Danger: after a stall both are ready, and time-outs would strike setups whose answers have come. GLib
  // goes in this order.
  for (GSource* source : {socket_source_, alarm_source_}) {
    reinterpret_cast<Source*>(source)->event_loop = this;
    g_source_attach(source, nullptr);
  }
  g_source_add_unix_fd(socket_source_, epoll_, G_IO_IN);
  std::signal(SIGPIPE, SIG_IGN);
  sigemptyset(&signals_);
}

EventLoop::~EventLoop() {
  soon_.clear();  // what they hold leaves the set of sockets first
  alarms_.clear();
  signal_watch_.reset();
  if (signal_fd_ >= 0) close(signal_fd_);
  sigprocmask(SIG_UNBLOCK, &signals_, nullptr);
  for (GSource* source : {socket_source_, alarm_source_}) {
    g_source_destroy(source);
    g_source_unref(source);
  }
  close(epoll_);
  g_main_loop_unref(main_);
}

Micros EventLoop::now() const { return micros_of<std::chrono::steady_clock>() + offset_; }

void EventLoop::call_at(Micros when, std::function<void()> then) {
  const bool earliest = alarms_.empty() || when < alarms_.begin()->first;
  alarms_.emplace(when, std::move(then));
  if (earliest) set_alarm();
}

void EventLoop::post(std::function<void()> then) {
  soon_.push_back(std::move(then));
  if (soon_.size() == 1) g_source_set_ready_time(alarm_source_, 0);
}

void EventLoop::set_alarm() {
  if (!soon_.empty())
    g_source_set_ready_time(alarm_source_, 0);
  else
    g_source_set_ready_time(alarm_source_,
                            alarms_.empty() ? -1 : std::max<Micros>(0, alarms_.begin()->first - offset_));
}

// Danger: GLib's own signal sources start a second thread, and a process held while that has a lock is held
// for good. So signals are read as sockets are, and the relay has one thread.
void EventLoop::on_signal(int signal, std::function<void()> then) {
  told_[signal] = std::move(then);
  sigaddset(&signals_, signal);
  sigprocmask(SIG_BLOCK, &signals_, nullptr);
  signal_fd_ = signalfd(signal_fd_, &signals_, SFD_CLOEXEC | SFD_NONBLOCK);
  if (signal_fd_ < 0) throw std::runtime_error(std::string("signalfd: ") + std::strerror(errno));
  if (signal_watch_) return;
  signal_watch_ = std::make_unique<IoWatch>(*this, signal_fd_, [this](bool, bool) {
    signalfd_siginfo come{};
    while (read(signal_fd_, &come, sizeof(come)) == sizeof(come)) {
      const auto told = told_[static_cast<int>(come.ssi_signo)];  // it may be replaced meanwhile
      guarded(told);
    }
  });
  signal_watch_->set_interest(true, false);
}

void EventLoop::on_terminate(std::function<void()> then) {
  on_signal(SIGTERM, then);
  on_signal(SIGINT, std::move(then));
}

void EventLoop::on_reload(std::function<void()> then) { on_signal(SIGHUP, std::move(then)); }

void EventLoop::run() { g_main_loop_run(main_); }
void EventLoop::run_once() { g_main_context_iteration(nullptr, FALSE); }
void EventLoop::quit() { g_main_loop_quit(main_); }

// Danger: an exception must not cross GLib's C frames, and one failed step must not end the process.
template <class Call>
void EventLoop::guarded(const Call& call) {
  try {
    call();
  } catch (const std::exception& failure) {
    log_.write(Topic::error, "a callback failed: {}", failure.what());
  }
}

gboolean EventLoop::dispatch_sockets(GSource* source, GSourceFunc, gpointer) {
  reinterpret_cast<Source*>(source)->event_loop->sockets_ready();
  return G_SOURCE_CONTINUE;
}

gboolean EventLoop::dispatch_alarms(GSource* source, GSourceFunc, gpointer) {
  reinterpret_cast<Source*>(source)->event_loop->alarms_due();
  return G_SOURCE_CONTINUE;
}

void EventLoop::sockets_ready() {
  const int count = epoll_wait(epoll_, batch_.data(), static_cast<int>(batch_.size()), 0);
  batch_size_ = count > 0 ? static_cast<std::size_t>(count) : 0;
  for (batch_at_ = 0; batch_at_ < batch_size_;) {
    const epoll_event event = batch_[batch_at_++];
    auto* watch = static_cast<IoWatch*>(event.data.ptr);
    if (!watch) continue;
    // A hang-up or an error is found out by reading or writing, whichever is wanted.
    const bool broken = (event.events & (EPOLLHUP | EPOLLERR)) != 0;
    const bool read = (event.events & EPOLLIN) || (broken && (watch->wanted_ & EPOLLIN));
    const bool write = (event.events & EPOLLOUT) || (broken && (watch->wanted_ & EPOLLOUT));
    const IoWatch::Ready ready = watch->ready_;  // the watch may go while it is told
    guarded([&] { ready(read, write); });
  }
  batch_size_ = 0;
}

void EventLoop::alarms_due() {
  for (std::size_t left = soon_.size(); left > 0 && !soon_.empty(); --left) {
    const auto then = std::move(soon_.front());
    soon_.pop_front();
    guarded(then);
  }
  const Micros due = now();
  while (!alarms_.empty() && alarms_.begin()->first <= due) {
    const auto then = std::move(alarms_.begin()->second);
    alarms_.erase(alarms_.begin());
    guarded(then);
  }
  set_alarm();
}

}  // namespace cherryrail::net
