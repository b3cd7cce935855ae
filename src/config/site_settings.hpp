// A site's settings, read into the module's BalancerConfig and what a front needs beside them. Both fronts
// use it: the settings come as "path=value" on one wire and as nested JSON on the other, with the same paths.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "balancer/balancer.hpp"

namespace cherryrail {

struct ConfigError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

using FlatSettings = std::map<std::string, std::string, std::less<>>;  // by path, such as profiles.0.payoff

struct SiteSettings {
  BalancerConfig config;
  std::optional<std::size_t> utilisation_at;  // position in a load report
  bool reports_on_probe = false;
  bool tells_load = false, tells_delay = false;  // what a backend says of an open tunnel
  bool grouped = false;                          // a tunnel names its group, not its client
  std::vector<std::string> profile_names, tenant_names, zone_names;
  Micros connect_within = 0, idle_after = 0;  // 0: not said
  Micros drain_grace = 0;                     // so long setups may still go to what has been told to drain
};

Micros micros_of(double milliseconds);

// One "path=value" a line.
FlatSettings split_settings(std::string_view text);

// Throws ConfigError naming the key and what is wrong with its value; keys that are not known are skipped.
SiteSettings read_site_settings(const FlatSettings& flat_settings);

}  // namespace cherryrail
