// IP addresses with a port.
#pragma once

#include <gio/gio.h>

#include <memory>
#include <string>

#include "net/glib_handles.hpp"

namespace cherryrail::net {

// Shared, since a backend's address is held by its entry and by what connects to it. Null: no address.
using Address = std::shared_ptr<GSocketAddress>;

// "10.0.0.4:7070" or "[::1]:7070"; null where the text is neither. Names are not resolved.
Address parse_address(const std::string& text);

}  // namespace cherryrail::net
