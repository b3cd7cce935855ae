#include "admin/admin_api.hpp"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace cherryrail::admin {
namespace {

using protocol::HttpStatus;

// The keys of the API, in the words that operators' tools know.
constexpr const char* kBackendKey = "who";
constexpr const char* kDisabledKey = "banned";

// The uid that the body of a request names; none if it names none.
std::optional<std::string> backend_named_in(const std::string& body) {
  const auto json = nlohmann::json::parse(body, nullptr, false);
  if (!json.is_object()) return std::nullopt;
  const auto name = json.find(kBackendKey);
  if (name == json.end() || !name->is_string()) return std::nullopt;
  if (name->get_ref<const std::string&>().empty()) return std::nullopt;
  return name->get<std::string>();
}

AdminResponse get_ready(const proxy::ProxyServer& proxy) {
  if (!proxy.is_ready()) return error_response(HttpStatus::service_unavailable, "not ready to serve");
  return {HttpStatus::ok, R"({"ready":true})"};
}

AdminResponse set_disabled(DisabledBackendsSync& disabled_backends, const std::string& body,
                           bool is_disabled) {
  const auto uid = backend_named_in(body);
  if (!uid) return error_response(HttpStatus::bad_request, "the body is not JSON with a text `who`");
  const auto result = disabled_backends.set_disabled(*uid, is_disabled);
  if (result == DisabledBackendsSync::ChangeResult::unknown_backend)
    return error_response(HttpStatus::not_found, "no such backend");
  return {HttpStatus::ok, nlohmann::json{{kBackendKey, *uid}, {kDisabledKey, is_disabled}}.dump()};
}

}  // namespace

std::vector<Route> admin_api_routes(proxy::ProxyServer& proxy, DisabledBackendsSync& disabled_backends) {
  return {
      {"GET", "/ready", [&proxy](const std::string&) { return get_ready(proxy); }},
      {"POST", "/backends/disable",
       [&disabled_backends](const std::string& body) { return set_disabled(disabled_backends, body, true); }},
      {"POST", "/backends/enable", [&disabled_backends](const std::string& body) {
         return set_disabled(disabled_backends, body, false);
       }}};
}

}  // namespace cherryrail::admin
