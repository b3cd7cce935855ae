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

constexpr std::size_t kUsualDescriptorLimit = 1024;  // what systems allow a process by default
constexpr std::int64_t kLeastDescriptorLimit = 16;   // with less the relay's own would leave none for clients
constexpr Micros kUsualConnectTimeout = 250'000;
constexpr Micros kUsualIdleTimeout = 15'000'000;
constexpr Micros kUsualDrainGrace = 500'000;
constexpr Micros kShortestAskAgain = kUsualDrainGrace / 50;  // so that a service that is down is not hammered
constexpr Micros kLongestAskAgain = kUsualDrainGrace / 2;

// A key of the file and the variable that is read if the file does not have it; null if there is none.
struct TextKey {
  const char* key;
  const char* variable;
};
constexpr TextKey kName{"name", "EDGE_NAME"};
constexpr TextKey kListen{"listen", "EDGE_LISTEN"};
constexpr TextKey kDiscovery{"discovery", "EDGE_DISCOVERY"};
constexpr TextKey kAdmin{"mgmt", "EDGE_MGMT"};
constexpr TextKey kSeed{"seed", nullptr};

[[noreturn]] void refuse(const ConfigValue& fault, const std::string& problem) {
  throw ConfigError(ConfigSource::file, fault, problem);
}

// Errors of the moment: the file is there and may be read in a moment.
[[noreturn]] void refuse_unreadable(const std::string& path, int error) {
  const std::string problem = "the configuration file '" + path + "' cannot be read";
  const bool is_passing =
      error == EMFILE || error == ENFILE || error == ENOMEM || error == EIO || error == EINTR;
  if (is_passing) throw IncompleteConfigError({"", path}, problem);
  refuse({"", path}, problem);
}

json parse_object(const std::string& text) {
  json root;
  try {
    root = json::parse(text);
  } catch (const json::exception& error) {
    throw IncompleteConfigError({}, std::string("the configuration is not JSON: ") + error.what());
  }
  if (!root.is_object()) refuse({}, "the configuration is not an object");
  return root;
}

std::string read_text(const json& root, const TextKey& key) {
  const auto found = root.find(key.key);
  if (found != root.end()) {
    if (!found->is_string()) refuse({key.key, found->type_name()}, "not a text");
    return found->get<std::string>();
  }
  const char* const from_environment = key.variable ? std::getenv(key.variable) : nullptr;
  return from_environment ? from_environment : "";
}

net::Address parse_address(const TextKey& key, const std::string& text) {
  net::Address address = net::parse_address(text);
  if (!address) refuse({key.key, text}, is_not(text, "an address and a port"));
  return address;
}

void read_client_side(const json& root, RelayConfig& config) {
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
    refuse({kAdmin.key, config.admin}, "clients connect there; it needs a place of its own");
}

std::string read_state_directory() {
  const char* const directory = std::getenv("TMPDIR");
  return directory ? directory : "";
}

std::size_t read_descriptor_limit(const json& root) {
  const auto limits = root.find("limits");
  if (limits == root.end()) return kUsualDescriptorLimit;
  if (!limits->is_object()) refuse({"limits", limits->type_name()}, "not an object");
  const auto sockets = limits->find("sockets");
  if (sockets == limits->end()) return kUsualDescriptorLimit;
  if (!sockets->is_number_integer() || sockets->get<std::int64_t>() < kLeastDescriptorLimit)
    refuse({"limits.sockets", sockets->dump()}, "not a whole number of at least 16");
  return sockets->get<std::size_t>();
}

FlatSettings read_flat_settings(const json& root) {
  const auto settings = root.find("settings");
  if (settings == root.end()) refuse({"settings", ""}, "missing, or not an object");
  if (!settings->is_object()) refuse({"settings", settings->type_name()}, "missing, or not an object");
  return flatten_json(*settings);
}

// On sockets a pushed list is one whose watch this relay holds alone; it is asked for all the same. What its
// agent knows counts as known to the relay, with or without a watch, so a broken watch is asked for again
// well within the grace that draining backends get; later, attempts would go to backends that have left.
void ask_for_pushed_list(SiteSettings& settings) {
  const Micros grace = settings.drain_grace > 0 ? settings.drain_grace : kUsualDrainGrace;
  settings.config.must_request_endpoints = true;
  settings.config.endpoint_retry_delay = std::clamp(grace / 2, kShortestAskAgain, kLongestAskAgain);
}

void set_usual_timeouts(SiteSettings& settings) {
  if (settings.connect_timeout <= 0) settings.connect_timeout = kUsualConnectTimeout;
  if (settings.idle_timeout <= 0) settings.idle_timeout = kUsualIdleTimeout;
}

protocol::EndpointList read_known_endpoints(const json& root) {
  const auto known = root.find("known");
  if (known == root.end() || known->is_null()) return {};
  try {
    return protocol::parse_endpoint_list(*known);
  } catch (const protocol::ProtocolError& error) {
    refuse({"known", error.value()}, error.what());
  }
}

}  // namespace

RelayConfig read_relay_config(const std::string& path) {
  if (path.empty()) refuse({}, "no configuration: name its file with --config or EDGE_CONFIG");
  const std::ifstream file(path);
  if (!file) refuse_unreadable(path, errno);
  std::ostringstream text;
  text << file.rdbuf();
  return parse_relay_config(text.str());
}

// The order decides which of several faults is named.
RelayConfig parse_relay_config(const std::string& text) {
  const json root = parse_object(text);
  RelayConfig config;
  config.name = read_text(root, kName);
  read_client_side(root, config);
  read_discovery(root, config);
  config.inherited_listener = find_inherited_listener(config.listen_address);
  read_admin(root, config);
  config.state_directory = read_state_directory();
  config.seed = protocol::parse_key(read_text(root, kSeed));
  config.descriptor_limit = read_descriptor_limit(root);
  config.flat_settings = read_flat_settings(root);
  config.settings = read_site_settings(config.flat_settings);
  config.is_list_pushed = !config.settings.config.must_request_endpoints;
  if (config.is_list_pushed) ask_for_pushed_list(config.settings);
  set_usual_timeouts(config.settings);
  config.known_endpoints = read_known_endpoints(root);
  return config;
}

}  // namespace cherryrail::config
