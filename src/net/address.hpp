// IP addresses with ports.
#pragma once

#include <gio/gio.h>

#include <memory>
#include <string>

#include "net/glib_handles.hpp"

namespace cherryrail::net {

// Shared, because a backend's address is held by the backend's entry and by each connection to the backend.
// Null stands for no address.
using Address = std::shared_ptr<GSocketAddress>;

// Parses "10.0.0.4:7070" or "[::1]:7070"; null if the text is invalid. Host names are not resolved.
Address parse_address(const std::string& text);

}  // namespace cherryrail::net
