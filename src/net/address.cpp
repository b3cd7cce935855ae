#include "net/address.hpp"

#include <cstdint>
#include <optional>

namespace cherryrail::net {
namespace {

constexpr std::uint64_t kMinPort = 1;
constexpr std::uint64_t kMaxPort = 65535;

std::string without_brackets(const std::string& host) {
  const bool has_brackets = host.size() > 2 && host.front() == '[' && host.back() == ']';
  return has_brackets ? host.substr(1, host.size() - 2) : host;
}

std::optional<guint> parse_port(const char* text) {
  guint64 port = 0;
  const gboolean is_port = g_ascii_string_to_unsigned(text, 10, kMinPort, kMaxPort, &port, nullptr);
  if (is_port == FALSE) return std::nullopt;
  return static_cast<guint>(port);
}

}  // namespace

Address parse_address(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) return nullptr;
  const std::optional<guint> port = parse_port(text.c_str() + colon + 1);
  if (!port) return nullptr;
  const std::string host = without_brackets(text.substr(0, colon));
  GSocketAddress* address = g_inet_socket_address_new_from_string(host.c_str(), *port);
  return address ? Address(address, GObjectUnref{}) : nullptr;
}

}  // namespace cherryrail::net
