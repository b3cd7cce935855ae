// The listening socket that the platform opens for the clients and every process of a relay inherits.
#pragma once

#include <optional>

#include "net/connection.hpp"

namespace cherryrail::config {

// The descriptor that EDGE_SOCKET_FD names, none if the variable is not set. Throws ConfigError if it is not
// a TCP socket that listens at `listen_address`. The descriptor is not taken over: its owner is the caller.
std::optional<int> find_inherited_listener(const net::Address& listen_address);

}  // namespace cherryrail::config
