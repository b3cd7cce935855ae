// Sockets of GIO: who owns them, and what is done with one that is on no event loop.
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

// A new TCP socket of the address's family, neither bound nor connected; null on failure, with `error` set.
SocketPtr create_tcp_socket(const Address& address, GlibError& error);

// How the start of a connection went.
enum class ConnectStart : std::uint8_t {
  in_progress,    // the socket becomes ready to write when it is over, well or not
  refused,        // by the far end, or on the way there
  local_failure,  // by this machine, for want of a port, a buffer or a route
};

// Starts to connect a socket that does not block.
ConnectStart start_connecting(GSocket* socket, const Address& address);

// Takes over a descriptor that is a socket already, such as one handed over by another process; it is closed
// with the result, or at once on failure. Throws std::runtime_error.
SocketPtr adopt_socket(int fd);

// Sends one line to a peer that is not served and closes. What does not fit into the socket's buffer is lost.
void send_and_close(SocketPtr socket, std::string_view line);
// Sends until the kernel takes no more, however little it takes at a time, and tells how many bytes it took.
// The socket does not block.
std::size_t send_as_far_as_possible(GSocket* socket, std::string_view bytes);

// Has the kernel drop some of what the peer has sent, without waiting. The result and errno are those of
// recv.
ssize_t discard_input(GSocket* socket);

}  // namespace cherryrail::net
