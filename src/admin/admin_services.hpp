// Composes what runs in a relay beside its traffic.
#pragma once

#include <memory>

#include "admin/admin_server.hpp"
#include "admin/disabled_backends_sync.hpp"
#include "admin/hot_restart_coordinator.hpp"
#include "config/relay_config.hpp"
#include "net/event_loop.hpp"
#include "proxy/proxy_server.hpp"

namespace cherryrail::admin {

// The admin server, the disabled backends and the hot restart of one process. Main makes one beside the
// proxy.
class AdminServices {
 public:
  // Throws ConfigError if the admin server cannot listen where `mgmt` says.
  AdminServices(net::EventLoop& event_loop, proxy::ProxyServer& proxy,
                const config::RelayConfig& relay_config);

  // At the signal to end: hands over to a successor if there is one, else lets the proxy shut down.
  void shut_down() { hot_restart_.shut_down(); }

 private:
  DisabledBackendsSync disabled_backends_;
  std::unique_ptr<AdminServer> admin_server_;  // none if the configuration names no address for it
  HotRestartCoordinator hot_restart_;
};

}  // namespace cherryrail::admin
