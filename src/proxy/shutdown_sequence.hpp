// The steps of a graceful shutdown, from the order to stop until the event loop ends.
#pragma once

#include <functional>

#include "net/event_loop.hpp"
#include "net/timer.hpp"
#include "proxy/downstream_listener.hpp"

namespace cherryrail::proxy {

class ShutdownSequence {
 public:
  // `downstream` must outlive this object. `has_successor`: another process inherits the listening socket.
  // `longest_client_timeout`: of all traffic classes.
  ShutdownSequence(net::EventLoop& event_loop, DownstreamListener& downstream, bool has_successor,
                   Micros longest_client_timeout);

  bool has_begun() const { return has_begun_; }
  // Marks the process as not ready for clients, and starts the shutdown timeout.
  void begin();
  // Until when clients may wait for their answer, and sessions for their handover to a successor. Those left
  // then are answered or migrated before the process is killed.
  Micros client_deadline() const;
  // Calls `migrate` once the platform no longer routes clients to this process.
  void call_after_client_arrivals(std::function<void()> migrate);
  // Stops the event loop once every session is gone, or at the shutdown timeout.
  void stop_when_empty();

 private:
  void schedule_check(Micros empty_since);
  void check(Micros empty_since);
  void stop();

  net::EventLoop& event_loop_;
  DownstreamListener& downstream_;
  bool has_successor_;
  Micros longest_client_timeout_;
  Micros begun_at_ = 0;
  bool has_begun_ = false;
  net::Timer timer_;  // for the next step
};

}  // namespace cherryrail::proxy
