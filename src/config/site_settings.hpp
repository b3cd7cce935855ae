// A site's settings in typed form: the balancer's configuration and the other settings of the relay and of
// the simulator's adapter. This is the only place that maps the keys of the settings to names in the code.
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

  // The position of the utilization among the values of a load report; empty if the report has none.
  std::optional<std::size_t> utilization_index;
  bool reports_on_health_check = false;  // health checks request a load report

  // What the value that backends report on an established session means.
  bool is_session_load_reported = false;
  bool is_message_latency_reported = false;

  bool key_field_identifies_group =
      false;  // the key field of an open request is the group's key, not the client's

  std::vector<std::string> traffic_class_names;
  std::vector<std::string> tenant_names;
  std::vector<std::string> zone_names;

  // 0 if the site does not set them.
  Micros connect_timeout = 0;
  Micros idle_timeout = 0;
  Micros drain_grace = 0;  // how long attempts may still go to a backend that has started draining
};

// Throws ConfigError for the first invalid setting; unknown keys are ignored.
SiteSettings read_site_settings(const FlatSettings& flat_settings);

}  // namespace cherryrail::config
