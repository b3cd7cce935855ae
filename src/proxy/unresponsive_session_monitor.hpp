// Finds established sessions whose backend no longer answers the client.
#pragma once

#include "net/event_loop.hpp"
#include "net/timer.hpp"
#include "proxy/upstream_connector.hpp"

namespace cherryrail::proxy {

// A hanging backend or session closes no connection; its client just gets no answers. On a healthy connection
// a line arrives at once, however loaded the backend is, so a session that has waited for two attempt latency
// objectives is considered unresponsive.
class UnresponsiveSessionMonitor {
 public:
  // `attempt_latency_objective` is the shortest of all traffic classes.
  UnresponsiveSessionMonitor(net::EventLoop& event_loop, UpstreamConnector& upstream, Balancer& balancer,
                             Micros attempt_latency_objective);

  // Checks all sessions now and schedules the next check, at intervals of half the objective.
  void run();

 private:
  net::EventLoop& event_loop_;
  UpstreamConnector& upstream_;
  Balancer& balancer_;
  Micros attempt_latency_objective_;
  net::Timer timer_;
};

}  // namespace cherryrail::proxy
