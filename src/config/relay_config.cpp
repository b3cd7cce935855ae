#include "config/relay_config.hpp"

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "config/inherited_socket.hpp"
#include "protocol/text_fields.hpp"

namespace cherryrail::config {
namespace {

using nlohmann::json;

constexpr std::size_t kDefaultDescriptorLimit = 1024;  // the usual default of operating systems
constexpr std::int64_t kMinDescriptorLimit = 16;  // the relay's own descriptors would use up a lower limit
constexpr Micros kDefaultConnectTimeout = 250'000;
constexpr Micros kDefaultIdleTimeout = 15'000'000;
constexpr Micros kDefaultDrainGrace = 500'000;
// The lower bound avoids flooding a discovery service that is down.
constexpr Micros kMinEndpointRetryDelay = kDefaultDrainGrace / 50;
constexpr Micros kMaxEndpointRetryDelay = kDefaultDrainGrace / 2;

// A key of the file, and the environment variable that is read if the file lacks the key; null if there is
// no such variable.
struct TextKey {
  const char* key;
  const char* variable;
};
constexpr TextKey kName{"name", "EDGE_NAME"};
constexpr TextKey kListen{"listen", "EDGE_LISTEN"};
constexpr TextKey kDiscovery{"discovery", "EDGE_DISCOVERY"};
constexpr TextKey kAdmin{"mgmt", "EDGE_MGMT"};
constexpr TextKey kSeed{"seed", nullptr};

[[noreturn]] void throw_config_error(const ConfigValue& invalid, const std::string& problem) {
  throw ConfigError(ConfigSource::file, invalid, problem);
}

// Transient errors, such as a lack of descriptors, become an IncompleteConfigError: a later read may succeed.
[[noreturn]] void throw_unreadable(const std::string& path, int error) {
  const std::string problem = "the configuration file '" + path + "' cannot be read";
  const bool is_transient =
      error == EMFILE || error == ENFILE || error == ENOMEM || error == EIO || error == EINTR;
  if (is_transient) throw IncompleteConfigError({"", path}, problem);
  throw_config_error({"", path}, problem);
}

json parse_object(const std::string& text) {
  json root;
  try {
    root = json::parse(text);
  } catch (const json::exception& error) {
    throw IncompleteConfigError({}, std::string("the configuration is not JSON: ") + error.what());
  }
  if (!root.is_object()) throw_config_error({}, "the configuration is not a JSON object");
  return root;
}

std::string read_text(const json& root, const TextKey& key) {
  const auto found = root.find(key.key);
  if (found != root.end()) {
    if (!found->is_string()) throw_config_error({key.key, found->type_name()}, "not a string");
    return found->get<std::string>();
  }
  const char* const from_environment = key.variable ? std::getenv(key.variable) : nullptr;
  return from_environment ? from_environment : "";
}

net::Address parse_address(const TextKey& key, const std::string& text) {
  net::Address address = net::parse_address(text);
  if (!address) throw_config_error({key.key, text}, describe_mismatch(text, "an IP address with a port"));
  return address;
}

void read_listen_address(const json& root, RelayConfig& config) {
  config.listen = read_text(root, kListen);
  config.listen_address = parse_address(kListen, config.listen);
}

void read_discovery(const json& root, RelayConfig& config) {
  config.discovery = read_text(root, kDiscovery);
  parse_address(kDiscovery, config.discovery);  // checked only; each connection parses it again
}

void read_admin(const json& root, RelayConfig& config) {
  config.admin = read_text(root, kAdmin);
  if (config.admin.empty()) return;
  config.admin_address = parse_address(kAdmin, config.admin);
  if (config.admin == config.listen)
    throw_config_error({kAdmin.key, config.admin},
                       "same address as `listen`; the admin endpoint needs an address of its own");
}

std::string read_state_directory() {
  const char* const directory = std::getenv("TMPDIR");
  return directory ? directory : "";
}

std::size_t read_descriptor_limit(const json& root) {
  const auto limits = root.find("limits");
  if (limits == root.end()) return kDefaultDescriptorLimit;
  if (!limits->is_object()) throw_config_error({"limits", limits->type_name()}, "not an object");
  const auto sockets = limits->find("sockets");
  if (sockets == limits->end()) return kDefaultDescriptorLimit;
  if (!sockets->is_number_integer() || sockets->get<std::int64_t>() < kMinDescriptorLimit)
    throw_config_error({"limits.sockets", sockets->dump()}, "not a whole number of at least 16");
  return sockets->get<std::size_t>();
}

FlatSettings read_flat_settings(const json& root) {
  const auto settings = root.find("settings");
  if (settings == root.end()) throw_config_error({"settings", ""}, "missing, or not an object");
  if (!settings->is_object())
    throw_config_error({"settings", settings->type_name()}, "missing, or not an object");
  return flatten_json(*settings);
}

// A pushed endpoint list also arrives over a watch that the relay has to request; the discovery agent then
// serves this relay alone. An endpoint that the agent knows counts as known to the relay even while the watch
// is broken. So a broken watch is requested again well within the grace period of draining backends;
// otherwise attempts would go to backends that have left.
void request_pushed_list(SiteSettings& settings) {
  const Micros grace = settings.drain_grace > 0 ? settings.drain_grace : kDefaultDrainGrace;
  settings.config.must_request_endpoints = true;
  settings.config.endpoint_retry_delay =
      std::clamp(grace / 2, kMinEndpointRetryDelay, kMaxEndpointRetryDelay);
}

void set_default_timeouts(SiteSettings& settings) {
  if (settings.connect_timeout <= 0) settings.connect_timeout = kDefaultConnectTimeout;
  if (settings.idle_timeout <= 0) settings.idle_timeout = kDefaultIdleTimeout;
}

protocol::EndpointList read_known_endpoints(const json& root) {
  const auto known = root.find("known");
  if (known == root.end() || known->is_null()) return {};
  try {
    return protocol::parse_endpoint_list(*known);
  } catch (const protocol::ProtocolError& error) {
    throw_config_error({"known", error.value()}, error.what());
  }
}

}  // namespace

RelayConfig read_relay_config(const std::string& path) {
  if (path.empty()) throw_config_error({}, "no configuration file: set --config or EDGE_CONFIG");
  const std::ifstream file(path);
  if (!file) throw_unreadable(path, errno);
  std::ostringstream text;
  text << file.rdbuf();
  return parse_relay_config(text.str());
}

// The order of these steps decides which of several errors is reported.
RelayConfig parse_relay_config(const std::string& text) {
  const json root = parse_object(text);
  RelayConfig config;
  config.name = read_text(root, kName);
  read_listen_address(root, config);
  read_discovery(root, config);
  config.inherited_listener = find_inherited_listener(config.listen_address);
  read_admin(root, config);
  config.state_directory = read_state_directory();
  config.seed = protocol::parse_key(read_text(root, kSeed));
  config.descriptor_limit = read_descriptor_limit(root);
  config.flat_settings = read_flat_settings(root);
  config.settings = read_site_settings(config.flat_settings);
  config.is_list_pushed = !config.settings.config.must_request_endpoints;
  if (config.is_list_pushed) request_pushed_list(config.settings);
  set_default_timeouts(config.settings);
  config.known_endpoints = read_known_endpoints(root);
  return config;
}

}  // namespace cherryrail::config
