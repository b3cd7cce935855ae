// Reloads the configuration while the relay runs.
#pragma once

#include <string>

#include "config/config_error.hpp"
#include "config/relay_config.hpp"
#include "net/event_loop.hpp"
#include "net/timer.hpp"
#include "proxy/descriptor_budget.hpp"
#include "proxy/discovery.hpp"

namespace cherryrail::proxy {

class ConfigReloader {
 public:
  // `config` is the configuration that the relay started with.
  ConfigReloader(net::EventLoop& event_loop, const config::RelayConfig& config, Balancer& balancer,
                 Discovery& discovery, DescriptorBudget& descriptors);

  // Applies the settings that may change while the relay runs: the discovery address and the descriptor
  // limit. An invalid configuration is logged and changes nothing. A file that cannot be read or is truncated
  // is read again for two seconds.
  void reload(const std::string& path);

 private:
  void try_to_reload(const std::string& path, int remaining_attempts);
  void schedule_retry(const std::string& path, int remaining_attempts);
  void log_failure(const config::ConfigError& error);
  void apply(const config::RelayConfig& config);

  net::EventLoop& event_loop_;
  std::string listen_;
  config::FlatSettings flat_settings_;
  Balancer& balancer_;
  Discovery& discovery_;
  DescriptorBudget& descriptors_;
  net::Timer retry_timer_;
};

}  // namespace cherryrail::proxy
