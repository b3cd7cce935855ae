// A backend as the proxy sees it: the balancer's state, and the address to connect to.
#pragma once

#include <string>

#include "balancer/balancer.hpp"
#include "net/connection.hpp"

namespace cherryrail::proxy {

// The type of every backend in this process's balancer. Only EndpointRegistry creates these objects.
struct ProxyBackend final : Backend {
  std::string uid;  // its name in the endpoint list
  net::Address address;
};

// Downcasts a backend of this process's balancer.
inline const ProxyBackend& as_proxy_backend(const Backend& backend) {
  return static_cast<const ProxyBackend&>(backend);
}

}  // namespace cherryrail::proxy
