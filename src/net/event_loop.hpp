// GLib's main loop as the rest sees it: sockets that become ready, alarms, things to do soon, signals.
#pragma once

#include <glib.h>
#include <sys/epoll.h>

#include <array>
#include <csignal>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>

#include "balancer/time.hpp"
#include "net/log.hpp"

namespace cherryrail::net {

class EventLoop;

// Tells its owner when a socket can be read or written. Level-triggered.
class IoWatch {
 public:
  using Ready = std::function<void(bool readable, bool writable)>;
  IoWatch(EventLoop& event_loop, int fd, Ready ready);
  ~IoWatch();
  IoWatch(const IoWatch&) = delete;
  IoWatch& operator=(const IoWatch&) = delete;
  void set_interest(bool read, bool write);

 private:
  friend class EventLoop;
  EventLoop& event_loop_;
  int fd_;
  Ready ready_;
  std::uint32_t wanted_ = 0;
};

class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  Micros now() const;  // Unix time that never jumps: the steady clock from the start on
  void call_at(Micros when, std::function<void()> then);
  void post(std::function<void()> then);          // after what is under way, in the order asked
  void on_terminate(std::function<void()> then);  // at SIGTERM or SIGINT
  void on_reload(std::function<void()> then);     // at SIGHUP
  void run();
  void run_once();  // once round, without waiting
  void quit();
  Log& log() { return log_; }
  std::size_t watch_count() const { return sockets_; }  // how many are watched

 private:
  friend class IoWatch;
  struct Source;
  static gboolean dispatch_sockets(GSource* source, GSourceFunc, gpointer);
  static gboolean dispatch_alarms(GSource* source, GSourceFunc, gpointer);
  void sockets_ready();
  void alarms_due();
  void set_alarm();
  void on_signal(int signal, std::function<void()> then);
  template <class Call>
  void guarded(const Call& call);

  Log log_;
  GMainLoop* main_;
  GSourceFuncs socket_funcs_, alarm_funcs_;
  GSource* socket_source_;
  GSource* alarm_source_;
  int epoll_;
  Micros offset_;  // from the steady clock to Unix time
  std::multimap<Micros, std::function<void()>> alarms_;
  std::deque<std::function<void()>> soon_;
  std::array<epoll_event, 256> batch_{};
  std::size_t batch_size_ = 0, batch_at_ = 0, sockets_ = 0;
  sigset_t signals_{};
  int signal_fd_ = -1;
  std::unique_ptr<IoWatch> signal_watch_;
  std::map<int, std::function<void()>> told_;  // of a signal, what to do
};

}  // namespace cherryrail::net
