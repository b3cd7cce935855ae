// The way from the order to stop to the end of the process.
#pragma once

#include <functional>

#include "net/event_loop.hpp"
#include "proxy/downstream_listener.hpp"

namespace cherryrail::proxy {

class ShutdownSequence {
 public:
  // Has to outlive the loop's run, as has the listener. `has_successor`: another process inherits the
  // clients' listening socket. `longest_client_timeout`: of any traffic class.
  ShutdownSequence(net::EventLoop& event_loop, DownstreamListener& downstream, bool has_successor,
                   Micros longest_client_timeout);

  bool has_begun() const { return has_begun_; }
  // From now on the process is not ready for clients, and its time to stop runs.
  void begin();
  // Calls `migrate` once clients are no longer sent here.
  void call_once_clients_stay_away(std::function<void()> migrate);
  // Stops the loop once every session is gone, but no later than clients and the platform wait for that.
  void stop_when_empty();

 private:
  void check_again(Micros empty_since);
  void check(Micros empty_since);
  void stop();

  net::EventLoop& event_loop_;
  DownstreamListener& downstream_;
  bool has_successor_;
  Micros longest_client_timeout_;
  Micros begun_at_ = 0;
  bool has_begun_ = false;
};

}  // namespace cherryrail::proxy
