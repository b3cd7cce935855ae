// Reads the configuration again while the relay runs.
#pragma once

#include <cstdint>
#include <string>

#include "config/config_error.hpp"
#include "config/relay_config.hpp"
#include "net/event_loop.hpp"
#include "proxy/descriptor_budget.hpp"
#include "proxy/discovery.hpp"

namespace cherryrail::proxy {

class ConfigReloader {
 public:
  // `config` is the one that the relay has started with.
  ConfigReloader(net::EventLoop& event_loop, const config::RelayConfig& config, Balancer& balancer,
                 Discovery& discovery, DescriptorBudget& descriptors);

  // Applies what may change while the relay runs: where discovery is, and the limit on descriptors. A
  // configuration that cannot be used is logged and leaves everything as it is; one that cannot be read just
  // now, or ends half-way, is read again for two seconds.
  void reload(const std::string& path);

 private:
  void try_to_reload(const std::string& path, int attempts);
  void try_again_later(const std::string& path, int attempts);
  void log_failure(const config::ConfigError& error);
  void apply(const config::RelayConfig& config);

  net::EventLoop& event_loop_;
  std::string listen_;
  config::FlatSettings flat_settings_;
  Balancer& balancer_;
  Discovery& discovery_;
  DescriptorBudget& descriptors_;
  std::uint64_t reload_number_ = 0;  // of the latest call of reload
};

}  // namespace cherryrail::proxy
