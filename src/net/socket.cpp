#include "net/socket.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <stdexcept>
#include <string>

namespace cherryrail::net {
namespace {

// How many bytes one call of discard_input discards at most.
constexpr std::size_t kMaxDiscardedBytes = 65536;

}  // namespace

SocketPtr create_tcp_socket(const Address& address, GlibError& error) {
  const GSocketFamily family = g_socket_address_get_family(address.get());
  return SocketPtr(g_socket_new(family, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, error.out()));
}

// Calls connect directly: GIO uses one error code for a lack of local ports and a refusal by the peer.
ConnectStart start_connecting(GSocket* socket, const Address& address) {
  sockaddr_storage native{};
  if (g_socket_address_to_native(address.get(), &native, sizeof(native), nullptr) == FALSE)
    return ConnectStart::refused;
  const auto size = static_cast<socklen_t>(g_socket_address_get_native_size(address.get()));
  if (connect(g_socket_get_fd(socket), reinterpret_cast<const sockaddr*>(&native), size) == 0)
    return ConnectStart::in_progress;
  switch (errno) {
    case EINPROGRESS:
    case EINTR:  // connecting continues in the background
      return ConnectStart::in_progress;
    case EADDRNOTAVAIL:
    case EAGAIN:
    case ENOBUFS:
    case ENOMEM:
    case ENETUNREACH:
      return ConnectStart::local_failure;
    default:
      return ConnectStart::refused;
  }
}

SocketPtr adopt_socket(int fd) {
  GlibError error;
  SocketPtr socket(g_socket_new_from_fd(fd, error.out()));
  if (socket) return socket;
  ::close(fd);
  throw std::runtime_error(std::string("cannot adopt a socket: ") + error.message());
}

void send_and_close(SocketPtr socket, std::string_view line) {
  g_socket_set_blocking(socket.get(), FALSE);
  send_until_blocked(socket.get(), line);
  // Unread input would turn the close into a reset, which can make the peer lose the line.
  discard_input(socket.get());
}

std::size_t send_until_blocked(GSocket* socket, std::string_view bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const std::string_view rest = bytes.substr(sent);
    const gssize count = g_socket_send(socket, rest.data(), rest.size(), nullptr, nullptr);
    if (count <= 0) break;
    sent += static_cast<std::size_t>(count);
  }
  return sent;
}

// With MSG_TRUNC the kernel discards the bytes without copying them, so the buffer is never written.
ssize_t discard_input(GSocket* socket) {
  std::array<char, kMaxDiscardedBytes> unused;  // NOLINT(cppcoreguidelines-pro-type-member-init): see above
  return recv(g_socket_get_fd(socket), unused.data(), unused.size(), MSG_TRUNC | MSG_DONTWAIT);
}

}  // namespace cherryrail::net
