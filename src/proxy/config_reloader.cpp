#include "proxy/config_reloader.hpp"

#include "config/descriptor_limit.hpp"

namespace cherryrail::proxy {
namespace {

// How often and how long a configuration that cannot be read is read again: news from a new discovery address
// count as told some seconds after the signal.
constexpr Micros kRetryInterval = 100'000;
constexpr int kAttempts = 20;

}  // namespace

ConfigReloader::ConfigReloader(net::EventLoop& event_loop, const config::RelayConfig& config,
                               Balancer& balancer, Discovery& discovery, DescriptorBudget& descriptors)
    : event_loop_(event_loop), listen_(config.listen), flat_settings_(config.flat_settings),
      balancer_(balancer), discovery_(discovery), descriptors_(descriptors) {}

// Half a file, or one with a wrong value, must neither stop the process nor be applied in part.
void ConfigReloader::reload(const std::string& path) {
  ++reload_number_;
  try_to_reload(path, kAttempts);
}

// The relay is told of a new configuration once. If it can't be read just then, it is read again for a while,
// unless the relay is told anew.
void ConfigReloader::try_to_reload(const std::string& path, int attempts) {
  try {
    apply(config::read_relay_config(path));
  } catch (const config::IncompleteConfigError& error) {
    if (attempts == kAttempts) log_failure(error);
    if (attempts > 1) try_again_later(path, attempts - 1);
  } catch (const config::ConfigError& error) {
    log_failure(error);
  }
}

void ConfigReloader::try_again_later(const std::string& path, int attempts) {
  event_loop_.call_at(event_loop_.now() + kRetryInterval, [this, path, attempts, number = reload_number_] {
    if (number == reload_number_) try_to_reload(path, attempts);
  });
}

void ConfigReloader::log_failure(const config::ConfigError& error) {
  event_loop_.log().write(net::Topic::error, "configuration not reloaded: {}", error.what());
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
