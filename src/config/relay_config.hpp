// Everything that a relay is told at its start, read, checked and given its defaults in this one place.
#pragma once

#include <cstdint>
#include <string>

#include "config/site_settings.hpp"
#include "net/connection.hpp"
#include "protocol/endpoint_list.hpp"

namespace cherryrail::config {

struct RelayConfig {
  std::string name, listen, discovery;
  net::Address listen_on;
  int clients_fd = -1;  // the clients' listening socket, where the platform holds it
  std::string mgmt;     // where operators call; empty where they do not
  net::Address mgmt_on;
  std::string kept_in;  // a folder that every process standing in for this relay shares; empty without one
  std::uint64_t seed = 0;
  std::size_t sockets = 0;     // descriptors that the process may hold
  FlatSettings flat_settings;  // the settings as the file has them
  SiteSettings settings;
  bool pushed = false;           // the list comes from an agent of this relay's own
  protocol::EndpointList known;  // the list of backends as this relay last had it
};

// From the file that EDGE_CONFIG or `path` names; EDGE_NAME, EDGE_LISTEN, EDGE_DISCOVERY and EDGE_MGMT stand
// in for what the file leaves out. Throws ConfigError naming the faulty key.
RelayConfig read_relay_config(const std::string& path);
RelayConfig parse_relay_config(const std::string& text);

// Raises this process's limit on descriptors as far as is wanted and allowed; gives what it may hold then.
std::size_t allow_descriptors(std::size_t wanted);

}  // namespace cherryrail::config
