// Sessions that name a backend of theirs which no endpoint list has named yet.
#pragma once

#include <memory>
#include <vector>

#include "net/event_loop.hpp"
#include "protocol/endpoint_list.hpp"
#include "proxy/endpoint_registry.hpp"
#include "proxy/proxy_session.hpp"

namespace cherryrail::proxy {

// A list is seconds late, so the backend may be there all the same: such a session waits for a list that
// names it, and is rejected once one shows that it is gone, or once none can be waited for any longer.
class UnlistedBackendQueue {
 public:
  UnlistedBackendQueue(net::EventLoop& event_loop, Balancer& balancer, const EndpointRegistry& endpoints)
      : event_loop_(event_loop), balancer_(balancer), endpoints_(endpoints) {}

  void add(const std::shared_ptr<ProxySession>& session);
  // The registry has taken in that list.
  void on_endpoint_list(const protocol::EndpointList& list);

 private:
  using WeakSession = std::weak_ptr<ProxySession>;

  void give_up(const WeakSession& waiting);

  net::EventLoop& event_loop_;
  Balancer& balancer_;
  const EndpointRegistry& endpoints_;
  std::vector<WeakSession> waiting_;
};

}  // namespace cherryrail::proxy
