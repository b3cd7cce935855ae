#include "proxy/unresponsive_session_monitor.hpp"

namespace cherryrail::proxy {

UnresponsiveSessionMonitor::UnresponsiveSessionMonitor(net::EventLoop& event_loop,
                                                       UpstreamConnector& upstream, Balancer& balancer,
                                                       Micros attempt_latency_objective)
    : event_loop_(event_loop), upstream_(upstream), balancer_(balancer),
      attempt_latency_objective_(attempt_latency_objective) {}

void UnresponsiveSessionMonitor::run() {
  upstream_.for_each_unanswered(2 * attempt_latency_objective_, [this](ProxySession& session) {
    balancer_.on_session_unresponsive(session);
  });
  timer_ = net::Timer(event_loop_, event_loop_.now() + attempt_latency_objective_ / 2, [this] { run(); });
}

}  // namespace cherryrail::proxy
