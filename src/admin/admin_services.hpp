// Owns the services of a relay process that carry no traffic.
#pragma once

#include <memory>

#include "admin/admin_server.hpp"
#include "admin/disabled_backends_sync.hpp"
#include "admin/endpoint_snapshot_sync.hpp"
#include "admin/hot_restart_coordinator.hpp"
#include "config/relay_config.hpp"
#include "net/event_loop.hpp"
#include "proxy/proxy_server.hpp"

namespace cherryrail::admin {

// The admin server, the disabled backends and the hot restart of one process. main() creates one beside the
// proxy.
class AdminServices {
 public:
  // Throws ConfigError if the admin server cannot listen at the address in the setting `mgmt`.
  AdminServices(net::EventLoop& event_loop, proxy::ProxyServer& proxy,
                const config::RelayConfig& relay_config);

  // On SIGTERM: hands over to a successor if there is one; otherwise shuts the proxy down gracefully.
  void shut_down() { hot_restart_.shut_down(); }

 private:
  DisabledBackendsSync disabled_backends_;
  std::unique_ptr<AdminServer> admin_server_;  // null if no admin address is configured
  EndpointSnapshotSync endpoint_snapshots_;
  HotRestartCoordinator hot_restart_;
};

}  // namespace cherryrail::admin
