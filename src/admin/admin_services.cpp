#include "admin/admin_services.hpp"

#include <stdexcept>
#include <string>

#include "admin/admin_api.hpp"
#include "admin/state_files.hpp"
#include "config/config_error.hpp"

namespace cherryrail::admin {
namespace {

// Empty if there is no admin server or no state directory.
std::string disabled_backends_path(const config::RelayConfig& relay_config) {
  if (relay_config.admin.empty() || relay_config.state_directory.empty()) return "";
  return relay_config.state_directory + "/" + state_file_name(relay_config.name, kDisabledBackendsSuffix);
}

// Empty without a state directory.
std::string endpoints_path(const config::RelayConfig& relay_config) {
  if (relay_config.state_directory.empty()) return "";
  return relay_config.state_directory + "/" + state_file_name(relay_config.name, kEndpointsSuffix);
}

}  // namespace

AdminServices::AdminServices(net::EventLoop& event_loop, proxy::ProxyServer& proxy,
                             const config::RelayConfig& relay_config)
    : disabled_backends_(event_loop, proxy, disabled_backends_path(relay_config)),
      endpoint_snapshots_(event_loop, proxy, endpoints_path(relay_config)),
      hot_restart_(event_loop, proxy, disabled_backends_, endpoint_snapshots_, relay_config) {
  if (relay_config.admin.empty()) return;
  disabled_backends_.start();
  proxy.reserve_descriptors(AdminServer::kMaxConnections);
  try {
    admin_server_ =
        std::make_unique<AdminServer>(event_loop, relay_config.admin_address,
                                      admin_api_routes(proxy, disabled_backends_, endpoint_snapshots_));
  } catch (const std::runtime_error& error) {
    throw config::ConfigError(config::ConfigSource::file, {"mgmt", relay_config.admin}, error.what());
  }
}

}  // namespace cherryrail::admin
