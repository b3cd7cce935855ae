// The event loop, a wrapper of GLib's main loop: ready descriptors, timers, posted callbacks and signals, all
// on one thread.
#pragma once

#include <glib.h>

#include <csignal>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>

#include "balancer/time.hpp"
#include "net/file_descriptor.hpp"
#include "net/io_poller.hpp"
#include "net/log.hpp"

namespace cherryrail::net {

// Blocks the signals that an event loop handles until one exists; during startup, each of them would end the
// process. Called once, before anything else.
void block_handled_signals();

// One per process, since it uses GLib's default context and the process's signal mask. Each iteration calls
// back ready descriptors first, then posted callbacks, then due timers. If a callback throws a
// std::exception, the error is logged and the loop continues.
class EventLoop {
 public:
  using Callback = std::function<void()>;

  // Throws std::runtime_error.
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Unix time in microseconds that never jumps: the steady clock plus an offset taken from the system clock
  // at startup.
  Micros now() const;
  // The offset that now() adds to the steady clock: the Unix time at which the steady clock was 0, according
  // to the wall clock at startup.
  Micros clock_origin() const { return clock_origin_; }
  // How far the wall clock has been stepped since startup.
  Micros wall_clock_step() const;
  // Schedules a callback at `when`; callbacks with equal times run in the order of the calls. A Timer cancels
  // its call by itself.
  TimerId call_at(Micros when, Callback callback);
  // Frees the callback without calling it. Has no effect once it has been called.
  void cancel_call(const TimerId& timer);
  // Schedules a callback after the current one; posted callbacks run in the order of the calls.
  void post(Callback callback);
  // Sets the callback for SIGTERM and SIGINT.
  void on_terminate(Callback callback);
  // Sets the callback for SIGHUP.
  void on_reload(Callback callback);

  // Runs until quit() is called.
  void run();
  // Runs one iteration without blocking.
  void run_once();
  void quit();

  Log& log() { return log_; }
  // The number of watched descriptors.
  std::size_t watch_count() const { return poller_.watch_count(); }
  // The number of scheduled calls.
  std::size_t timer_count() const { return timers_.size(); }

 private:
  friend class IoPoller;
  friend class IoWatch;

  // A GLib source that calls a member function of the event loop when ready.
  class LoopSource {
   public:
    using Dispatch = void (EventLoop::*)();
    LoopSource(EventLoop& event_loop, Dispatch dispatch);
    ~LoopSource();
    LoopSource(const LoopSource&) = delete;
    LoopSource& operator=(const LoopSource&) = delete;
    GSource* get() const { return source_; }

   private:
    struct Layout;
    static gboolean on_ready(GSource* source, GSourceFunc callback, gpointer data);

    GSource* source_;
  };

  struct MainLoopUnref {
    void operator()(GMainLoop* main_loop) const { g_main_loop_unref(main_loop); }
  };

  void dispatch_io();
  void dispatch_timers();
  void run_posted();
  void run_due_timers();
  void arm_timer_source();
  void on_signal(int signal, Callback callback);
  void read_signals();
  template <class Call>
  void run_guarded(const Call& call);

  Log log_;
  std::unique_ptr<GMainLoop, MainLoopUnref> main_loop_;
  IoPoller poller_;
  // This order matters: after a stall both sources are ready, and timers that ran first would fail attempts
  // whose responses have already arrived.
  LoopSource io_source_;
  LoopSource timer_source_;
  Micros clock_origin_;
  std::map<TimerId, Callback> timers_;
  std::uint64_t last_timer_sequence_ = 0;
  std::deque<Callback> posted_;
  sigset_t handled_signals_{};
  std::map<int, Callback> signal_callbacks_;
  FileDescriptor signal_fd_;
  std::unique_ptr<IoWatch> signal_watch_;
};

}  // namespace cherryrail::net
