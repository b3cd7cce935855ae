// Runs the health checks that the balancer requests, on one connection for each backend.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "proxy/health_check_connection.hpp"

namespace cherryrail::proxy {

class HealthChecker {
 public:
  HealthChecker(net::EventLoop& event_loop, HealthCheckConfig config);

  // Checks the backend `uid` once; see HealthCheckConnection::check().
  void check(const std::string& uid, const net::Address& address, HealthCheckCallback on_result);

 private:
  net::EventLoop& event_loop_;
  const HealthCheckConfig config_;
  std::map<std::string, std::shared_ptr<HealthCheckConnection>> connections_;  // by uid
};

}  // namespace cherryrail::proxy
