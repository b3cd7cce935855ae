#include "proxy/config_reloader.hpp"

#include "config/descriptor_limit.hpp"

namespace cherryrail::proxy {
namespace {

// How often an unreadable configuration is read again. Retries end after two seconds: the relay has to follow
// a new discovery address within a few seconds of the signal.
constexpr Micros kRetryInterval = 100'000;
constexpr int kMaxAttempts = 20;

}  // namespace

ConfigReloader::ConfigReloader(net::EventLoop& event_loop, const config::RelayConfig& config,
                               Balancer& balancer, Discovery& discovery, DescriptorBudget& descriptors)
    : event_loop_(event_loop), listen_(config.listen), flat_settings_(config.flat_settings),
      balancer_(balancer), discovery_(discovery), descriptors_(descriptors) {}

// A truncated file, or one with an invalid value, must neither stop the process nor be applied in part.
void ConfigReloader::reload(const std::string& path) {
  retry_timer_.cancel();
  try_to_reload(path, kMaxAttempts);
}

// The platform signals a new configuration only once, so a file that cannot be read at that moment is read
// again until the attempts are used up or the next reload begins.
void ConfigReloader::try_to_reload(const std::string& path, int remaining_attempts) {
  try {
    apply(config::read_relay_config(path));
  } catch (const config::IncompleteConfigError& error) {
    if (remaining_attempts == kMaxAttempts) log_failure(error);
    if (remaining_attempts > 1) schedule_retry(path, remaining_attempts - 1);
  } catch (const config::ConfigError& error) {
    log_failure(error);
  }
}

void ConfigReloader::schedule_retry(const std::string& path, int remaining_attempts) {
  retry_timer_ = net::Timer(event_loop_, event_loop_.now() + kRetryInterval,
                            [this, path, remaining_attempts] { try_to_reload(path, remaining_attempts); });
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
  balancer_.on_endpoints_updated();  // failures at the old address do not delay requests to the new one
  discovery_.set_address(config.discovery);
  const bool is_unchanged = config.flat_settings == flat_settings_;
  event_loop_.log().write(net::Topic::lifecycle, "configuration reloaded{}",
                          is_unchanged ? "" : "; its settings differ and apply from the next start");
}

}  // namespace cherryrail::proxy
