// The downstream listening socket that the platform may open and pass to each process of a relay.
#pragma once

#include <optional>

#include "net/connection.hpp"

namespace cherryrail::config {

// Returns the descriptor named by EDGE_SOCKET_FD, or nothing if the variable is unset or empty. Throws
// ConfigError if the descriptor is not a TCP socket listening at `listen_address`. The caller owns the
// descriptor.
std::optional<int> find_inherited_listener(const net::Address& listen_address);

}  // namespace cherryrail::config
