// The event loop: GLib's main loop as the rest of the program sees it. Descriptors that become ready, timers,
// posted callbacks and signals, all on one thread.
#pragma once

#include <glib.h>

#include <csignal>
#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>

#include "balancer/time.hpp"
#include "net/file_descriptor.hpp"
#include "net/io_poller.hpp"
#include "net/log.hpp"

namespace cherryrail::net {

// Has the signals that an event loop handles wait until there is one: at a start, each of them would end the
// process. Called once, before anything else.
void hold_back_handled_signals();

// One for the process: it uses GLib's default context and the process's signal mask. In each round the
// callbacks of descriptors come first, then what had been posted, then timers. A callback that throws a
// std::exception is logged, and the loop goes on.
class EventLoop {
 public:
  using Callback = std::function<void()>;

  // Throws std::runtime_error.
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Unix time in microseconds that never jumps: the steady clock, set by the system clock at the start.
  Micros now() const;
  // What now() adds to the steady clock: the Unix time at which that was 0, as the wall clock had it at the
  // start.
  Micros clock_origin() const { return clock_origin_; }
  // How far the wall clock has been stepped since then.
  Micros wall_clock_step() const;
  // Calls back once `when` has come. It cannot be taken back; callbacks for one moment go in the order asked.
  void call_at(Micros when, Callback callback);
  // Calls back after what is under way, in the order asked.
  void post(Callback callback);
  // At SIGTERM or SIGINT.
  void on_terminate(Callback callback);
  // At SIGHUP.
  void on_reload(Callback callback);

  // Until quit.
  void run();
  // One round, without waiting.
  void run_once();
  void quit();

  Log& log() { return log_; }
  // How many descriptors are watched.
  std::size_t watch_count() const { return poller_.watch_count(); }

 private:
  friend class IoPoller;
  friend class IoWatch;

  // A GLib source that calls one member function of the loop when it is ready.
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
  // In this order: after a stall both are ready, and timers would fail attempts whose answers have come.
  LoopSource io_source_;
  LoopSource timer_source_;
  Micros clock_origin_;
  std::multimap<Micros, Callback> timers_;
  std::deque<Callback> posted_;
  sigset_t handled_signals_{};
  std::map<int, Callback> signal_callbacks_;
  FileDescriptor signal_fd_;
  std::unique_ptr<IoWatch> signal_watch_;
};

}  // namespace cherryrail::net
