#include "admin/admin_api.hpp"

#include <fmt/format.h>

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace cherryrail::admin {
namespace {

using protocol::HttpStatus;

// JSON keys of the API, which operators' tools depend on.
constexpr const char* kBackendKey = "who";
constexpr const char* kDisabledKey = "banned";

// The backend uid in the body of a request; none if the body is malformed or has no uid.
std::optional<std::string> parse_backend_uid(const std::string& body) {
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

// The JSON key of a result as it is logged: "rejected reason=no_backend" becomes rejected_no_backend.
std::string statistics_key(std::string_view result) {
  constexpr std::string_view kSeparator = " reason=";
  const std::size_t position = result.find(kSeparator);
  if (position == std::string_view::npos) return std::string(result);
  return fmt::format("{}_{}", result.substr(0, position), result.substr(position + kSeparator.size()));
}

template <class Counts>
nlohmann::json counts_by_result(const Counts& counts) {
  nlohmann::json object = nlohmann::json::object();
  counts.for_each(
      [&object](auto result, std::uint64_t count) { object[statistics_key(to_string(result))] = count; });
  return object;
}

nlohmann::json violations_by_invariant(const proxy::InvariantMonitor& monitor) {
  nlohmann::json object = nlohmann::json::object();
  for (std::size_t i = 0; i < proxy::kInvariantCount; ++i) {
    const auto invariant = static_cast<proxy::Invariant>(i);
    object[std::string(to_string(invariant))] = monitor.violations(invariant);
  }
  return object;
}

AdminResponse get_statistics(const proxy::ProxyServer& proxy, const DisabledBackendsSync& disabled_backends,
                             const EndpointSnapshotSync& endpoint_snapshots) {
  const proxy::ProxyStatistics statistics = proxy.statistics();
  return {HttpStatus::ok,
          nlohmann::json{{"downstream", counts_by_result(statistics.downstream)},
                         {"attempts", counts_by_result(statistics.attempts)},
                         {"invariant_violations", violations_by_invariant(statistics.invariants)},
                         {"sessions", statistics.sessions},
                         {"descriptors", statistics.descriptors},
                         {"timers", statistics.timers},
                         {"ended_session_ids", statistics.ended_session_ids},
                         {"wall_clock_step_ms", statistics.wall_clock_step / kMillisecond},
                         {"lost_log_lines", statistics.lost_log_lines},
                         {"disabled_backends_not_stored", disabled_backends.pending_changes().size()},
                         {"endpoint_list_version", proxy.endpoint_list_version()},
                         {"endpoint_list_not_stored", endpoint_snapshots.is_stored() ? 0 : 1}}
              .dump()};
}

AdminResponse set_disabled(DisabledBackendsSync& disabled_backends, const std::string& body,
                           bool is_disabled) {
  const auto uid = parse_backend_uid(body);
  if (!uid) return error_response(HttpStatus::bad_request, "the body is not JSON with a text `who`");
  const auto result = disabled_backends.set_disabled(*uid, is_disabled);
  if (result == DisabledBackendsSync::ChangeResult::unknown_backend)
    return error_response(HttpStatus::not_found, "no such backend");
  return {HttpStatus::ok, nlohmann::json{{kBackendKey, *uid}, {kDisabledKey, is_disabled}}.dump()};
}

}  // namespace

std::vector<Route> admin_api_routes(proxy::ProxyServer& proxy, DisabledBackendsSync& disabled_backends,
                                    const EndpointSnapshotSync& endpoint_snapshots) {
  return {
      {"GET", "/ready", [&proxy](const std::string&) { return get_ready(proxy); }},
      {"GET", "/stats",
       [&proxy, &disabled_backends, &endpoint_snapshots](const std::string&) {
         return get_statistics(proxy, disabled_backends, endpoint_snapshots);
       }},
      {"POST", "/backends/disable",
       [&disabled_backends](const std::string& body) { return set_disabled(disabled_backends, body, true); }},
      {"POST", "/backends/enable", [&disabled_backends](const std::string& body) {
         return set_disabled(disabled_backends, body, false);
       }}};
}

}  // namespace cherryrail::admin
