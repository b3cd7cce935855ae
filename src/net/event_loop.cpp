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

// Special values of a GLib source's ready time.
constexpr gint64 kNever = -1;
constexpr gint64 kImmediately = 0;

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
  // GLib's poll would scan every socket in each iteration, so it watches only the epoll descriptor.
  g_source_add_unix_fd(io_source_.get(), poller_.descriptor(), G_IO_IN);
  std::signal(SIGPIPE, SIG_IGN);  // NOLINT(cert-err33-c): a write to a closed socket reports the error
  sigemptyset(&handled_signals_);
}

void block_handled_signals() {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&signals, signal);
  sigprocmask(SIG_BLOCK, &signals, nullptr);
}

EventLoop::~EventLoop() {
  // Callbacks may own watches, timers and other objects that use the loop, so they are destroyed first.
  std::exchange(posted_, {}).clear();
  std::exchange(timers_, {}).clear();
  signal_watch_.reset();
  signal_fd_ = FileDescriptor();
  sigprocmask(SIG_UNBLOCK, &handled_signals_, nullptr);
}

Micros EventLoop::now() const { return clock_micros<std::chrono::steady_clock>() + clock_origin_; }

Micros EventLoop::wall_clock_step() const { return clock_micros<std::chrono::system_clock>() - now(); }

TimerId EventLoop::call_at(Micros when, Callback callback) {
  const bool is_earliest = timers_.empty() || when < timers_.begin()->first.due;
  const TimerId timer{when, ++last_timer_sequence_};
  timers_.emplace(timer, std::move(callback));
  if (is_earliest) arm_timer_source();
  return timer;
}

// The callback is destroyed once it is out of the map: it may own objects that cancel further calls.
void EventLoop::cancel_call(const TimerId& timer) { static_cast<void>(timers_.extract(timer)); }

void EventLoop::post(Callback callback) {
  posted_.push_back(std::move(callback));
  if (posted_.size() == 1) g_source_set_ready_time(timer_source_.get(), kImmediately);
}

void EventLoop::arm_timer_source() {
  gint64 ready_time = kNever;
  if (!timers_.empty()) ready_time = std::max(kImmediately, timers_.begin()->first.due - clock_origin_);
  if (!posted_.empty()) ready_time = kImmediately;
  g_source_set_ready_time(timer_source_.get(), ready_time);
}

void EventLoop::on_terminate(Callback callback) {
  on_signal(SIGTERM, callback);
  on_signal(SIGINT, std::move(callback));
}

void EventLoop::on_reload(Callback callback) { on_signal(SIGHUP, std::move(callback)); }

// GLib's signal sources start a second thread, and a process that is stopped while that thread holds a lock
// hangs forever. So signals are read from a signalfd, and the relay has a single thread.
void EventLoop::on_signal(int signal, Callback callback) {
  signal_callbacks_[signal] = std::move(callback);
  sigaddset(&handled_signals_, signal);
  sigprocmask(SIG_BLOCK, &handled_signals_, nullptr);
  if (signal_fd_) {
    // Updates the signal set of the descriptor, which cannot fail.
    static_cast<void>(signalfd(signal_fd_.get(), &handled_signals_, 0));
    return;
  }
  signal_fd_ = retry_at_startup(
      [this] { return FileDescriptor(signalfd(-1, &handled_signals_, SFD_CLOEXEC | SFD_NONBLOCK)); });
  if (!signal_fd_) throw std::runtime_error(std::string("cannot create a signalfd: ") + std::strerror(errno));
  signal_watch_ = std::make_unique<IoWatch>(*this, signal_fd_.get(), [this](bool, bool) { read_signals(); });
  signal_watch_->set_interest(true, false);
}

void EventLoop::read_signals() {
  signalfd_siginfo received{};
  while (read(signal_fd_.get(), &received, sizeof(received)) == sizeof(received)) {
    const Callback callback =
        signal_callbacks_[static_cast<int>(received.ssi_signo)];  // a copy: the callback may be replaced
    run_guarded(callback);
  }
}

void EventLoop::run() { g_main_loop_run(main_loop_.get()); }
void EventLoop::run_once() { g_main_context_iteration(nullptr, FALSE); }
void EventLoop::quit() { g_main_loop_quit(main_loop_.get()); }

// An exception must not propagate through GLib's C frames, and a failed callback must not end the process.
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

// Runs only the callbacks posted so far. Those posted meanwhile wait for the next iteration, so that sockets
// are not starved.
void EventLoop::run_posted() {
  for (std::size_t remaining = posted_.size(); remaining > 0 && !posted_.empty(); --remaining) {
    const Callback callback = std::move(posted_.front());
    posted_.pop_front();
    run_guarded(callback);
  }
}

void EventLoop::run_due_timers() {
  const Micros started_at = now();
  while (!timers_.empty() && timers_.begin()->first.due <= started_at) {
    const auto timer = timers_.extract(timers_.begin());
    run_guarded(timer.mapped());
  }
}

}  // namespace cherryrail::net
