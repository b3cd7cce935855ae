// The relay's configuration file with the variables that complete it: parsed, checked and given its defaults.
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
  std::string listen;  // where clients connect, as the file states it
  net::Address listen_address;
  std::optional<int> inherited_listener;  // the clients' listening socket, where the platform opens it
  std::string discovery;                  // the address of the service that sends the endpoint list
  std::string admin;                      // where operators call; empty without an operators' endpoint
  net::Address admin_address;
  std::string state_directory;  // shared by all processes that serve as this relay; empty without one
  std::uint64_t seed = 0;
  std::size_t descriptor_limit = 0;  // how many descriptors the process may hold
  FlatSettings flat_settings;        // the site's settings as the file has them
  SiteSettings settings;
  bool is_list_pushed = false;             // the endpoint list comes from an agent of this relay's own
  protocol::EndpointList known_endpoints;  // the endpoint list as this relay last had it
};

// Reads the file at `path`. EDGE_NAME, EDGE_LISTEN, EDGE_DISCOVERY and EDGE_MGMT stand in for what the file
// leaves out; EDGE_SOCKET_FD names an inherited listener, TMPDIR the state directory. Throws ConfigError.
RelayConfig read_relay_config(const std::string& path);

// The same from the file's text.
RelayConfig parse_relay_config(const std::string& text);

}  // namespace cherryrail::config
