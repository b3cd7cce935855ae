#include "net/event_loop.hpp"

#include <sys/signalfd.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <exception>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>

#include "net/startup_retry.hpp"

namespace cherryrail::net {
namespace {

// Of a source's ready time, by GLib's convention.
constexpr gint64 kNever = -1;
constexpr gint64 kAtOnce = 0;

template <class Clock>
Micros clock_micros() {
  const auto since_epoch = Clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count();
}

}  // namespace

struct EventLoop::LoopSource::Layout {
  GSource base;
  EventLoop* event_loop;
  Dispatch dispatch;
};

EventLoop::LoopSource::LoopSource(EventLoop& event_loop, Dispatch dispatch) {
  static GSourceFuncs functions{nullptr, nullptr, &LoopSource::on_ready, nullptr, nullptr, nullptr};
  source_ = g_source_new(&functions, sizeof(Layout));
  auto* layout = reinterpret_cast<Layout*>(source_);
  layout->event_loop = &event_loop;
  layout->dispatch = dispatch;
  g_source_attach(source_, nullptr);
}

EventLoop::LoopSource::~LoopSource() {
  g_source_destroy(source_);
  g_source_unref(source_);
}

gboolean EventLoop::LoopSource::on_ready(GSource* source, GSourceFunc /*callback*/, gpointer /*data*/) {
  const auto* layout = reinterpret_cast<const Layout*>(source);
  (layout->event_loop->*layout->dispatch)();
  return G_SOURCE_CONTINUE;
}

EventLoop::EventLoop()
    : main_loop_(g_main_loop_new(nullptr, FALSE)), io_source_(*this, &EventLoop::dispatch_io),
      timer_source_(*this, &EventLoop::dispatch_timers),
      clock_origin_(clock_micros<std::chrono::system_clock>() - clock_micros<std::chrono::steady_clock>()) {
  // GLib's own poll would walk every socket in every round, so it gets one descriptor that stands for all.
  g_source_add_unix_fd(io_source_.get(), poller_.descriptor(), G_IO_IN);
  std::signal(SIGPIPE, SIG_IGN);  // NOLINT(cert-err33-c): a socket without a reader is found out by the write
  sigemptyset(&handled_signals_);
}

void hold_back_handled_signals() {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&signals, signal);
  sigprocmask(SIG_BLOCK, &signals, nullptr);
}

EventLoop::~EventLoop() {
  // What the callbacks hold, watches among it, goes while the loop is whole.
  posted_.clear();
  timers_.clear();
  signal_watch_.reset();
  signal_fd_ = FileDescriptor();
  sigprocmask(SIG_UNBLOCK, &handled_signals_, nullptr);
}

Micros EventLoop::now() const { return clock_micros<std::chrono::steady_clock>() + clock_origin_; }

Micros EventLoop::wall_clock_step() const { return clock_micros<std::chrono::system_clock>() - now(); }

void EventLoop::call_at(Micros when, Callback callback) {
  const bool is_earliest = timers_.empty() || when < timers_.begin()->first;
  timers_.emplace(when, std::move(callback));
  if (is_earliest) arm_timer_source();
}

void EventLoop::post(Callback callback) {
  posted_.push_back(std::move(callback));
  if (posted_.size() == 1) g_source_set_ready_time(timer_source_.get(), kAtOnce);
}

void EventLoop::arm_timer_source() {
  gint64 ready_time = kNever;
  if (!timers_.empty()) ready_time = std::max(kAtOnce, timers_.begin()->first - clock_origin_);
  if (!posted_.empty()) ready_time = kAtOnce;
  g_source_set_ready_time(timer_source_.get(), ready_time);
}

void EventLoop::on_terminate(Callback callback) {
  on_signal(SIGTERM, callback);
  on_signal(SIGINT, std::move(callback));
}

void EventLoop::on_reload(Callback callback) { on_signal(SIGHUP, std::move(callback)); }

// GLib's own signal sources start a second thread, and a process stopped while that thread has a lock hangs
// for good. So signals are read as sockets are, and the relay has one thread.
void EventLoop::on_signal(int signal, Callback callback) {
  signal_callbacks_[signal] = std::move(callback);
  sigaddset(&handled_signals_, signal);
  sigprocmask(SIG_BLOCK, &handled_signals_, nullptr);
  if (signal_fd_) {
    // Changes what the descriptor reads, which cannot fail.
    static_cast<void>(signalfd(signal_fd_.get(), &handled_signals_, 0));
    return;
  }
  signal_fd_ = retry_at_startup(
      [this] { return FileDescriptor(signalfd(-1, &handled_signals_, SFD_CLOEXEC | SFD_NONBLOCK)); });
  if (!signal_fd_) throw std::runtime_error(std::string("signalfd: ") + std::strerror(errno));
  signal_watch_ = std::make_unique<IoWatch>(*this, signal_fd_.get(), [this](bool, bool) { read_signals(); });
  signal_watch_->set_interest(true, false);
}

void EventLoop::read_signals() {
  signalfd_siginfo received{};
  while (read(signal_fd_.get(), &received, sizeof(received)) == sizeof(received)) {
    const Callback callback = signal_callbacks_[static_cast<int>(received.ssi_signo)];  // it may be replaced
    run_guarded(callback);
  }
}

void EventLoop::run() { g_main_loop_run(main_loop_.get()); }
void EventLoop::run_once() { g_main_context_iteration(nullptr, FALSE); }
void EventLoop::quit() { g_main_loop_quit(main_loop_.get()); }

// An exception must not cross GLib's C frames, and one failed callback must not end the process.
template <class Call>
void EventLoop::run_guarded(const Call& call) {
  try {
    call();
  } catch (const std::exception& failure) {
    log_.write(Topic::error, "a callback failed: {}", failure.what());
  }
}

void EventLoop::dispatch_io() {
  poller_.wait();
  while (const std::optional<IoPoller::ReadyIo> ready = poller_.next()) {
    run_guarded([&ready] { ready->callback(ready->is_readable, ready->is_writable); });
  }
}

void EventLoop::dispatch_timers() {
  run_posted();
  run_due_timers();
  arm_timer_source();
}

// Only what had been posted before: what these post waits for the next round, so that sockets get their turn.
void EventLoop::run_posted() {
  for (std::size_t left = posted_.size(); left > 0 && !posted_.empty(); --left) {
    const Callback callback = std::move(posted_.front());
    posted_.pop_front();
    run_guarded(callback);
  }
}

void EventLoop::run_due_timers() {
  const Micros due = now();
  while (!timers_.empty() && timers_.begin()->first <= due) {
    const Callback callback = std::move(timers_.begin()->second);
    timers_.erase(timers_.begin());
    run_guarded(callback);
  }
}

}  // namespace cherryrail::net
