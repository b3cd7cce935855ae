// Finds established sessions on which a client's lines bring nothing back.
#pragma once

#include "net/event_loop.hpp"
#include "proxy/upstream_connector.hpp"

namespace cherryrail::proxy {

// A backend that stops answering breaks no connection, nor does a session that hangs: its client is just
// served nothing. A healthy connection brings a line back at once, however loaded the backend is, so a wait
// of two attempt latency objectives is long enough to tell.
class UnresponsiveSessionMonitor {
 public:
  // Has to outlive the loop's run. `attempt_latency_objective`: the shortest of any traffic class.
  UnresponsiveSessionMonitor(net::EventLoop& event_loop, UpstreamConnector& upstream, Balancer& balancer,
                             Micros attempt_latency_objective);

  // Checks all sessions now, and again and again from now on.
  void run();

 private:
  net::EventLoop& event_loop_;
  UpstreamConnector& upstream_;
  Balancer& balancer_;
  Micros attempt_latency_objective_;
};

}  // namespace cherryrail::proxy
