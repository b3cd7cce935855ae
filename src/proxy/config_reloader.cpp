#include "proxy/config_reloader.hpp"

#include "config/descriptor_limit.hpp"

namespace cherryrail::proxy {

ConfigReloader::ConfigReloader(net::EventLoop& event_loop, const config::RelayConfig& config,
                               Balancer& balancer, Discovery& discovery, DescriptorBudget& descriptors)
    : event_loop_(event_loop), listen_(config.listen), flat_settings_(config.flat_settings),
      balancer_(balancer), discovery_(discovery), descriptors_(descriptors) {}

// Half a file, or one with a wrong value, must neither stop the process nor be applied in part.
void ConfigReloader::reload(const std::string& path) {
  try {
    apply(config::read_relay_config(path));
  } catch (const config::ConfigError& error) {
    event_loop_.log().write(net::Topic::error, "configuration not reloaded: {}", error.what());
  }
}

void ConfigReloader::apply(const config::RelayConfig& config) {
  if (config.listen != listen_) {
    throw config::ConfigError(config::ConfigSource::file, {"listen", config.listen},
                              "cannot change while the relay runs");
  }
  descriptors_.set_limit(config::raise_descriptor_limit(config.descriptor_limit));
  balancer_.on_endpoints_updated();  // failures at the old address say nothing of the new one
  discovery_.move_to(config.discovery);
  const bool is_unchanged = config.flat_settings == flat_settings_;
  event_loop_.log().write(net::Topic::lifecycle, "configuration reloaded{}",
                          is_unchanged ? "" : "; its settings differ and apply from the next start");
}

}  // namespace cherryrail::proxy
