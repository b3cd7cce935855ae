#include "config/relay_config.hpp"

#include <sys/resource.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

#include "protocol/text_fields.hpp"

namespace cherryrail::config {
namespace {

using nlohmann::json;

constexpr std::size_t kUsualSockets = 1024;
constexpr Micros kUsualConnect = 250'000, kUsualIdle = 15'000'000, kUsualGrace = 500'000;

// Nested objects become paths; lists of plain values are joined, lists of objects counted and numbered.
void flatten(const json& value, const std::string& path, FlatSettings& out) {
  const auto under = [&path](const std::string& name) { return path.empty() ? name : path + "." + name; };
  if (value.is_object()) {
    for (const auto& [name, inner] : value.items()) flatten(inner, under(name), out);
  } else if (value.is_array() &&
             std::any_of(value.begin(), value.end(), [](const json& item) { return item.is_object(); })) {
    out[path + ".count"] = std::to_string(value.size());
    for (std::size_t i = 0; i < value.size(); ++i) flatten(value[i], under(std::to_string(i)), out);
  } else if (value.is_array()) {
    std::string& joined = out[path];
    for (const json& item : value) {
      if (&item != &value.front()) joined += ',';
      joined += item.is_string() ? item.get<std::string>() : item.dump();
    }
  } else {
    out[path] = value.is_string() ? value.get<std::string>() : value.dump();
  }
}

std::string text_of(const json& root, const char* key, const char* variable) {
  if (const auto found = root.find(key); found != root.end()) {
    if (!found->is_string()) throw ConfigError(std::string(key) + ": not a text");
    return found->get<std::string>();
  }
  const char* from_outside = std::getenv(variable);
  return from_outside ? from_outside : "";
}

net::Address address_at(const char* key, const std::string& text) {
  net::Address address = net::parse_address(text);
  if (!address) throw ConfigError(std::string(key) + ": '" + text + "' is not an address and a port");
  return address;
}

// Danger: a wrong descriptor, taken on trust, would be some file or another's socket, and no client would
// come.
int inherited_socket(const net::Address& listen_on) {
  const char* named = std::getenv("EDGE_SOCKET_FD");
  if (!named || !*named) return -1;
  const std::string text = named;
  guint64 number = 0;
  if (!g_ascii_string_to_unsigned(named, 10, 3, 1 << 20, &number, nullptr))
    throw ConfigError("EDGE_SOCKET_FD: '" + text + "' is not the number of a descriptor");
  const int fd = static_cast<int>(number);
  int type = 0, listens = 0;
  socklen_t size = sizeof(int);
  if (getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &size) != 0 || type != SOCK_STREAM ||
      getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listens, &size) != 0 || listens == 0)
    throw ConfigError("EDGE_SOCKET_FD: descriptor " + text + " is not a listening TCP socket");
  sockaddr_storage at{};
  socklen_t length = sizeof(at);
  getsockname(fd, reinterpret_cast<sockaddr*>(&at), &length);
  const net::Address bound(g_socket_address_new_from_native(&at, length), net::GObjectUnref{});
  const auto place = [](const net::Address& address) {
    auto* inet = G_IS_INET_SOCKET_ADDRESS(address.get()) ? G_INET_SOCKET_ADDRESS(address.get()) : nullptr;
    return std::pair(inet ? g_inet_socket_address_get_address(inet) : nullptr,
                     inet ? g_inet_socket_address_get_port(inet) : 0);
  };
  const auto [host, port] = place(bound);
  const auto [wanted_host, wanted_port] = place(listen_on);
  if (!host || port != wanted_port ||
      !(g_inet_address_equal(host, wanted_host) || g_inet_address_get_is_any(host)))
    throw ConfigError("EDGE_SOCKET_FD: descriptor " + text + " does not listen where `listen` says");
  return fd;
}

}  // namespace

RelayConfig read_relay_config(const std::string& path) {
  if (path.empty()) throw ConfigError("no configuration: name its file with --config or EDGE_CONFIG");
  std::ifstream file(path);
  if (!file) throw ConfigError("the configuration file '" + path + "' cannot be read");
  std::ostringstream text;
  text << file.rdbuf();
  return parse_relay_config(text.str());
}

RelayConfig parse_relay_config(const std::string& text) {
  json root;
  try {
    root = json::parse(text);
  } catch (const json::exception& error) {
    throw ConfigError(std::string("the configuration is not JSON: ") + error.what());
  }
  if (!root.is_object()) throw ConfigError("the configuration is not an object");
  RelayConfig start;
  start.name = text_of(root, "name", "EDGE_NAME");
  start.listen = text_of(root, "listen", "EDGE_LISTEN");
  start.listen_on = address_at("listen", start.listen);
  start.discovery = text_of(root, "discovery", "EDGE_DISCOVERY");
  address_at("discovery", start.discovery);
  start.clients_fd = inherited_socket(start.listen_on);
  start.mgmt = text_of(root, "mgmt", "EDGE_MGMT");
  if (!start.mgmt.empty()) {
    start.mgmt_on = address_at("mgmt", start.mgmt);
    if (start.mgmt == start.listen)
      throw ConfigError("mgmt: clients connect there; it needs a place of its own");
  }
  if (const char* folder = std::getenv("TMPDIR")) start.kept_in = folder;
  start.seed = protocol::parse_key(text_of(root, "seed", ""));

  start.sockets = kUsualSockets;
  if (const auto limits = root.find("limits"); limits != root.end()) {
    if (!limits->is_object()) throw ConfigError("limits: not an object");
    if (const auto sockets = limits->find("sockets"); sockets != limits->end()) {
      if (!sockets->is_number_integer() || sockets->get<std::int64_t>() < 16)
        throw ConfigError("limits.sockets: not a whole number of at least 16");
      start.sockets = sockets->get<std::size_t>();
    }
  }

  const auto settings = root.find("settings");
  if (settings == root.end() || !settings->is_object())
    throw ConfigError("settings: missing, or not an object");
  flatten(*settings, "", start.flat_settings);
  start.settings = read_site_settings(start.flat_settings);
  // On sockets a list that is pushed is one whose watch the relay holds by itself: asked for, all the same.
  // Danger: what its agent has counts as told, watch or none, so it is asked again well within the grace for
  // drains.
  BalancerConfig& config = start.settings.config;
  start.pushed = !std::exchange(config.list_on_request, true);
  const Micros grace = start.settings.drain_grace > 0 ? start.settings.drain_grace : kUsualGrace;
  if (start.pushed) config.ask_again = std::clamp(grace / 2, kUsualGrace / 50, kUsualGrace / 2);
  if (start.settings.connect_within <= 0) start.settings.connect_within = kUsualConnect;
  if (start.settings.idle_after <= 0) start.settings.idle_after = kUsualIdle;

  if (const auto known = root.find("known"); known != root.end() && !known->is_null()) {
    try {
      start.known = protocol::parse_endpoint_list(*known);
    } catch (const std::exception& error) {
      throw ConfigError(std::string("known: ") + error.what());
    }
  }
  return start;
}

std::size_t allow_descriptors(std::size_t wanted) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return wanted;
  limit.rlim_cur = std::min<rlim_t>(wanted, limit.rlim_max);
  if (setrlimit(RLIMIT_NOFILE, &limit) != 0) getrlimit(RLIMIT_NOFILE, &limit);
  return std::min<std::size_t>(wanted, limit.rlim_cur);
}

}  // namespace cherryrail::config
