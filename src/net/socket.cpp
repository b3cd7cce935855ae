#include "net/socket.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <stdexcept>
#include <string>

namespace cherryrail::net {
namespace {

// Bytes dropped by one call.
constexpr std::size_t kDiscardSize = 65536;

}  // namespace

SocketPtr create_tcp_socket(const Address& address, GlibError& error) {
  const GSocketFamily family = g_socket_address_get_family(address.get());
  return SocketPtr(g_socket_new(family, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, error.out()));
}

SocketPtr adopt_socket(int fd) {
  GlibError error;
  SocketPtr socket(g_socket_new_from_fd(fd, error.out()));
  if (socket) return socket;
  ::close(fd);
  throw std::runtime_error(std::string("cannot take a socket over: ") + error.message());
}

void send_and_close(SocketPtr socket, std::string_view line) {
  g_socket_set_blocking(socket.get(), FALSE);
  g_socket_send(socket.get(), line.data(), line.size(), nullptr, nullptr);
  // Unread input would turn the close into a reset, which may overtake the line.
  discard_input(socket.get());
}

// MSG_TRUNC has the kernel drop the bytes without copying them, so the buffer is never written.
ssize_t discard_input(GSocket* socket) {
  std::array<char, kDiscardSize> unused;  // NOLINT(cppcoreguidelines-pro-type-member-init): see above
  return recv(g_socket_get_fd(socket), unused.data(), unused.size(), MSG_TRUNC | MSG_DONTWAIT);
}

}  // namespace cherryrail::net
