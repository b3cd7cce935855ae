#include "proxy/health_checker.hpp"

#include <utility>

namespace cherryrail::proxy {

HealthChecker::HealthChecker(net::EventLoop& event_loop, HealthCheckConfig config)
    : event_loop_(event_loop), config_(std::move(config)) {}

void HealthChecker::check(const std::string& uid, const net::Address& address,
                          HealthCheckCallback on_result) {
  auto& connection = connections_[uid];
  if (!connection) {
    connection = std::make_shared<HealthCheckConnection>(event_loop_, config_, uid,
                                                         [this, uid] { connections_.erase(uid); });
  }
  connection->check(address, std::move(on_result));
}

}  // namespace cherryrail::proxy
