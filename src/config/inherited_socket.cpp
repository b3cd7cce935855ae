#include "config/inherited_socket.hpp"

#include <sys/socket.h>

#include <cstdlib>
#include <string>

#include "config/config_error.hpp"

namespace cherryrail::config {
namespace {

constexpr const char* kVariable = "EDGE_SOCKET_FD";
constexpr guint64 kMinDescriptor = 3;  // 0 to 2 are the standard streams
constexpr guint64 kMaxDescriptor = 1 << 20;
constexpr unsigned kDecimal = 10;

[[noreturn]] void throw_config_error(const std::string& text, const std::string& problem) {
  throw ConfigError(ConfigSource::environment, {kVariable, text}, problem);
}

int parse_descriptor(const std::string& text) {
  guint64 number = 0;
  const gboolean is_descriptor =
      g_ascii_string_to_unsigned(text.c_str(), kDecimal, kMinDescriptor, kMaxDescriptor, &number, nullptr);
  if (is_descriptor == FALSE) throw_config_error(text, describe_mismatch(text, "a descriptor number"));
  return static_cast<int>(number);
}

std::optional<int> socket_option(int fd, int option) {
  int value = 0;
  socklen_t size = sizeof(value);
  if (getsockopt(fd, SOL_SOCKET, option, &value, &size) != 0) return {};
  return value;
}

bool is_listening_tcp_socket(int fd) {
  return socket_option(fd, SO_TYPE) == SOCK_STREAM && socket_option(fd, SO_ACCEPTCONN).value_or(0) != 0;
}

GInetSocketAddress* inet_address(const net::Address& address) {
  return G_IS_INET_SOCKET_ADDRESS(address.get()) ? G_INET_SOCKET_ADDRESS(address.get()) : nullptr;
}

net::Address bound_address(int fd) {
  sockaddr_storage storage{};
  socklen_t length = sizeof(storage);
  getsockname(fd, reinterpret_cast<sockaddr*>(&storage), &length);
  return {g_socket_address_new_from_native(&storage, length), net::GObjectUnref{}};
}

bool listens_at(int fd, const net::Address& listen_address) {
  const net::Address bound = bound_address(fd);
  GInetSocketAddress* const actual = inet_address(bound);
  GInetSocketAddress* const expected = inet_address(listen_address);
  if (!actual || !expected) return false;
  if (g_inet_socket_address_get_port(actual) != g_inet_socket_address_get_port(expected)) return false;
  GInetAddress* const actual_host = g_inet_socket_address_get_address(actual);
  GInetAddress* const expected_host = g_inet_socket_address_get_address(expected);
  return g_inet_address_equal(actual_host, expected_host) != FALSE ||
         g_inet_address_get_is_any(actual_host) != FALSE;
}

}  // namespace

// The descriptor is checked because a wrong number may name a file or another program's socket; the relay
// would then run without receiving any client connection.
std::optional<int> find_inherited_listener(const net::Address& listen_address) {
  const char* const environment_value = std::getenv(kVariable);
  const std::string text = environment_value ? environment_value : "";
  if (text.empty()) return {};
  const int fd = parse_descriptor(text);
  if (!is_listening_tcp_socket(fd))
    throw_config_error(text, "descriptor " + text + " is not a listening TCP socket");
  if (!listens_at(fd, listen_address))
    throw_config_error(text, "descriptor " + text + " does not listen at the address in `listen`");
  return fd;
}

}  // namespace cherryrail::config
