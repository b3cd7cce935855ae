// A backend as the proxy knows it: the balancer's view, and how to reach it.
#pragma once

#include <string>

#include "balancer/balancer.hpp"
#include "net/connection.hpp"

namespace cherryrail::proxy {

// Every backend that this process's balancer holds is one of these; EndpointRegistry alone makes them.
struct ProxyBackend final : Backend {
  std::string uid;  // its name in the endpoint list
  net::Address address;
};

inline const ProxyBackend& as_proxy_backend(const Backend& backend) {
  return static_cast<const ProxyBackend&>(backend);
}

}  // namespace cherryrail::proxy
