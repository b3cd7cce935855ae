// Ownership of GIO sockets, and operations on sockets that are not attached to an event loop.
#pragma once

#include <gio/gio.h>
#include <sys/types.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

#include "net/address.hpp"
#include "net/glib_handles.hpp"

namespace cherryrail::net {

using SocketPtr = std::unique_ptr<GSocket, GObjectUnref>;

// Creates a TCP socket of the address's family, neither bound nor connected. Returns null on failure and sets
// `error`.
SocketPtr create_tcp_socket(const Address& address, GlibError& error);

// The result of start_connecting.
enum class ConnectStart : std::uint8_t {
  in_progress,    // the socket becomes writable on success and on failure
  refused,        // by the peer or on the path to it
  local_failure,  // this host lacks a port, a buffer or a route
};

// Starts to connect a non-blocking socket.
ConnectStart start_connecting(GSocket* socket, const Address& address);

// Takes ownership of the descriptor of an existing socket, such as one received from another process. It is
// closed together with the result, or immediately on failure. Throws std::runtime_error.
SocketPtr adopt_socket(int fd);

// Sends one line to a rejected peer and closes. What does not fit into the socket's buffer is lost.
void send_and_close(SocketPtr socket, std::string_view line);
// Sends until the kernel accepts no more, also after partial writes. Returns how many bytes it accepted. The
// socket must be non-blocking.
std::size_t send_until_blocked(GSocket* socket, std::string_view bytes);

// Discards some of the received input without blocking. The result and errno are those of recv.
ssize_t discard_input(GSocket* socket);

}  // namespace cherryrail::net
