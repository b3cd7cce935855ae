// A site's settings, typed: the balancer's configuration and what the relay or the simulator's adapter needs
// beside it. The settings' keys are mapped to the names of the code here and nowhere else.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "balancer/balancer.hpp"
#include "config/config_error.hpp"
#include "config/flat_settings.hpp"

namespace cherryrail::config {

struct SiteSettings {
  BalancerConfig config;

  // Of a load report: the position of the utilization among its figures, none if it has none.
  std::optional<std::size_t> utilization_index;
  bool reports_on_health_check = false;  // health checks ask for a load report

  // What the figure is that backends report on an open session.
  bool is_session_load_reported = false;
  bool is_message_latency_reported = false;

  bool key_field_identifies_group = false;  // a session's key names its group, not its client

  std::vector<std::string> traffic_class_names;
  std::vector<std::string> tenant_names;
  std::vector<std::string> zone_names;

  // 0 where the site does not state them.
  Micros connect_timeout = 0;
  Micros idle_timeout = 0;
  Micros drain_grace = 0;  // how long attempts may still go to a backend after it has begun to drain
};

// Throws ConfigError; keys that are not known are skipped. Of several faults the first one read is named.
SiteSettings read_site_settings(const FlatSettings& flat_settings);

}  // namespace cherryrail::config
