// The relay's configuration: the file and the environment variables that supplement it, parsed, validated and
// completed with defaults.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "config/site_settings.hpp"
#include "net/connection.hpp"
#include "protocol/endpoint_list.hpp"

namespace cherryrail::config {

struct RelayConfig {
  std::string name;
  std::string listen;  // the downstream address, as written in the file
  net::Address listen_address;
  std::optional<int> inherited_listener;  // the downstream listening socket, if the platform opens it
  std::string discovery;                  // the address of the service that sends the endpoint list
  std::string admin;                      // the admin address; empty without an admin endpoint
  net::Address admin_address;
  std::string state_directory;  // shared by all processes of this relay; empty without one
  std::uint64_t seed = 0;
  std::size_t descriptor_limit = 0;  // how many descriptors the process may open
  FlatSettings flat_settings;        // the site's settings as in the file
  SiteSettings settings;
  bool is_list_pushed = false;  // the endpoint list comes from an agent that serves this relay alone
  protocol::EndpointList known_endpoints;  // the last endpoint list that this relay received
};

// Reads the file at `path`. EDGE_NAME, EDGE_LISTEN, EDGE_DISCOVERY and EDGE_MGMT supply keys that the file
// lacks; EDGE_SOCKET_FD names an inherited listener and TMPDIR the state directory. Throws ConfigError.
RelayConfig read_relay_config(const std::string& path);

// Like read_relay_config, but takes the content of the file.
RelayConfig parse_relay_config(const std::string& text);

}  // namespace cherryrail::config
