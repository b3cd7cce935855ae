// Sessions to be restored at a backend that no endpoint list has named yet.
#pragma once

#include <memory>
#include <vector>

#include "net/timer.hpp"
#include "protocol/endpoint_list.hpp"
#include "proxy/endpoint_registry.hpp"
#include "proxy/proxy_session.hpp"

namespace cherryrail::proxy {

// Endpoint lists arrive seconds late, so the backend may exist nevertheless. Such a session waits for a list
// that names its backend. It is rejected once a complete list omits the backend, or at the end of its waiting
// time.
class UnlistedBackendQueue {
 public:
  UnlistedBackendQueue(net::EventLoop& event_loop, Balancer& balancer, const EndpointRegistry& endpoints)
      : event_loop_(event_loop), balancer_(balancer), endpoints_(endpoints) {}

  void add(const std::shared_ptr<ProxySession>& session);
  // To be called after the registry has applied the list.
  void on_endpoint_list(const protocol::EndpointList& list);

 private:
  struct WaitingSession {
    std::weak_ptr<ProxySession> session;
    net::Timer timer;  // for the rejection
  };

  // Frees what is kept for sessions that need no backend any more, for example because their client has left.
  void remove_finished();

  net::EventLoop& event_loop_;
  Balancer& balancer_;
  const EndpointRegistry& endpoints_;
  std::vector<WaitingSession> waiting_;
};

}  // namespace cherryrail::proxy
