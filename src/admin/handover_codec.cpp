#include "admin/handover_codec.hpp"

#include <algorithm>
#include <cstddef>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace cherryrail::admin {
namespace {

using nlohmann::json;

// The keys of a message. Earlier builds use the same keys, so they must not change.
constexpr const char* kReceivedKey = "begun";
constexpr const char* kOpenRequestKey = "head";
constexpr const char* kBackendKey = "backend";
constexpr const char* kWaitedKey = "waited";
constexpr const char* kStateKey = "memory";
// Earlier builds ignore messages with these keys.
constexpr const char* kDisabledBackendsKey = "disabled_backends";
constexpr const char* kClaimedSessionIdsKey = "session_ids";
constexpr const char* kEndpointsKey = "endpoints";

// The keys of a part of an endpoint snapshot.
constexpr const char* kPartIndexKey = "index";
constexpr const char* kPartCountKey = "count";
constexpr const char* kPartBytesKey = "bytes";

// The keys of the state snapshot.
constexpr const char* kStartedAtKey = "born";
constexpr const char* kAdmissionSlotsFromKey = "turns_from";
constexpr const char* kOverloadedUntilKey = "strained_until";
constexpr const char* kNewSessionsKey = "new_clients";
constexpr const char* kHealthCheckTokensKey = "purse";
constexpr const char* kRecentRetriesKey = "further";
constexpr const char* kBackendsKey = "backends";
constexpr const char* kClockOriginKey = "clock_origin";  // earlier builds neither send nor read it

// No client waits longer for a line; a larger value comes from a process whose clock is wrong.
constexpr Micros kMaxWait = 60'000'000;

// Clients may send arbitrary bytes, but text in CBOR has to be UTF-8.
json binary(const std::string& text) {
  return json::binary(std::vector<std::uint8_t>(text.begin(), text.end()));
}

std::string text_at(const json& map, const char* key) {
  const auto& bytes = map.at(key).get_binary();
  return {bytes.begin(), bytes.end()};
}

Micros waited_at(const json& map) {
  return std::clamp<Micros>(map.at(kWaitedKey).get<Micros>(), 0, kMaxWait);
}

// A backend is encoded as an array without keys, so the order of its fields matters; decode_backend() uses
// the same order.
json encode_backend(const BackendSnapshot& backend) {
  return json::array({backend.name, backend.started_at, backend.reported_started_at,
                      backend.capacity_reduced_at, backend.failure_log_odds, backend.capacity_limit,
                      backend.load_at_overload, backend.is_ejected, backend.is_unresponsive,
                      backend.is_capacity_inferred, backend.admission_slot, backend.admitted_in_slot});
}

BackendSnapshot decode_backend(const json& fields) {
  BackendSnapshot backend;
  std::size_t index = 0;
  const auto read_next = [&fields, &index](auto& value) {
    fields.at(index).get_to(value);
    ++index;
  };
  read_next(backend.name);
  read_next(backend.started_at);
  read_next(backend.reported_started_at);
  read_next(backend.capacity_reduced_at);
  read_next(backend.failure_log_odds);
  read_next(backend.capacity_limit);
  read_next(backend.load_at_overload);
  read_next(backend.is_ejected);
  read_next(backend.is_unresponsive);
  read_next(backend.is_capacity_inferred);
  read_next(backend.admission_slot);
  read_next(backend.admitted_in_slot);
  return backend;
}

json encode_state(const StateSnapshot& state) {
  json backends = json::array();
  for (const BackendSnapshot& backend : state.backends) backends.push_back(encode_backend(backend));
  json map = {{kStartedAtKey, state.balancer_started_at},
              {kAdmissionSlotsFromKey, state.admission_slots_from},
              {kOverloadedUntilKey, state.general_overload_until},
              {kNewSessionsKey, state.new_sessions},
              {kHealthCheckTokensKey, state.health_check_tokens},
              {kRecentRetriesKey, state.recent_retries},
              {kBackendsKey, std::move(backends)}};
  if (state.clock_origin > 0) map[kClockOriginKey] = state.clock_origin;
  return map;
}

StateSnapshot decode_state(const json& map) {
  StateSnapshot state;
  map.at(kStartedAtKey).get_to(state.balancer_started_at);
  map.at(kAdmissionSlotsFromKey).get_to(state.admission_slots_from);
  map.at(kOverloadedUntilKey).get_to(state.general_overload_until);
  map.at(kNewSessionsKey).get_to(state.new_sessions);
  map.at(kHealthCheckTokensKey).get_to(state.health_check_tokens);
  state.recent_retries = map.value(kRecentRetriesKey, 0.0);  // earlier builds do not send this key
  state.clock_origin = map.value(kClockOriginKey, Micros{0});
  for (const json& backend : map.at(kBackendsKey)) state.backends.push_back(decode_backend(backend));
  return state;
}

// Every message has these four keys, with empty values where they do not apply: earlier builds require them
// all.
json message_map(const std::string& received, const std::string& open_request, const std::string& backend,
                 Micros waited) {
  return {{kReceivedKey, binary(received)},
          {kOpenRequestKey, binary(open_request)},
          {kBackendKey, binary(backend)},
          {kWaitedKey, waited}};
}

struct Encoder {
  json operator()(const proxy::PendingClient& client) const {
    return message_map(client.received, "", "", client.waited);
  }
  json operator()(const proxy::OpenSession& session) const {
    return message_map("", session.open_request, session.backend, session.waited);
  }
  json operator()(const proxy::DisabledBackendChanges& changes) const {
    json map = message_map("", "", "", 0);
    map[kDisabledBackendsKey] = changes.is_disabled;
    return map;
  }
  json operator()(const proxy::ClaimedSessionIds& ids) const {
    json map = message_map("", "", "", 0);
    map[kClaimedSessionIdsKey] = ids.hashes;
    return map;
  }
  json operator()(const proxy::EndpointSnapshotPart& part) const {
    json map = message_map("", "", "", 0);
    map[kEndpointsKey] = {
        {kPartIndexKey, part.index}, {kPartCountKey, part.count}, {kPartBytesKey, binary(part.bytes)}};
    return map;
  }
  json operator()(const StateSnapshot& state) const {
    json map = message_map("", "", "", 0);
    map[kStateKey] = encode_state(state);
    return map;
  }
};

proxy::HandoverMessage decode_message(const json& map) {
  if (const auto state = map.find(kStateKey); state != map.end()) return decode_state(*state);
  if (const auto changes = map.find(kDisabledBackendsKey); changes != map.end())
    return proxy::DisabledBackendChanges{changes->get<std::map<std::string, bool>>()};
  if (const auto ids = map.find(kClaimedSessionIdsKey); ids != map.end())
    return proxy::ClaimedSessionIds{ids->get<std::vector<std::uint64_t>>()};
  if (const auto part = map.find(kEndpointsKey); part != map.end()) {
    return proxy::EndpointSnapshotPart{part->at(kPartIndexKey).get<std::size_t>(),
                                       part->at(kPartCountKey).get<std::size_t>(),
                                       text_at(*part, kPartBytesKey)};
  }
  std::string received = text_at(map, kReceivedKey);
  std::string open_request = text_at(map, kOpenRequestKey);
  std::string backend = text_at(map, kBackendKey);
  const Micros waited = waited_at(map);
  if (open_request.empty()) return proxy::PendingClient{std::move(received), waited};
  return proxy::OpenSession{std::move(open_request), std::move(backend), waited};
}

}  // namespace

std::vector<std::uint8_t> encode_handover(const proxy::HandoverMessage& message) {
  return json::to_cbor(std::visit(Encoder{}, message));
}

std::optional<proxy::HandoverMessage> decode_handover(std::span<const std::uint8_t> bytes) {
  try {
    return decode_message(json::from_cbor(bytes.begin(), bytes.end()));
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace cherryrail::admin
