#include "simulator/events.hpp"

#include <array>

namespace cherryrail::simulator {
namespace {

// Plausibility limits: a value at or above its limit is treated as absent.
constexpr float kMaxUtilization = 1e6F;
constexpr float kMaxWeight = 1e9F;

// The load hint on the wire is in milliseconds of work per second, the balancer's loads are in microseconds.
constexpr double kMillisecondsPerSecond = 1000;

EndpointState read_endpoint_state(std::uint8_t code, const FrameReader& reader) {
  switch (code) {
    case 0:
      return EndpointState::ready;
    case 1:
      return EndpointState::gone;
    case 2:
      return EndpointState::draining;
    default:
      reader.fail_unknown("stage_state", code);
  }
}

EndpointRecord read_endpoint(FrameReader& reader) {
  EndpointRecord endpoint;
  endpoint.backend_id = reader.read<std::uint32_t>("backend");
  endpoint.zone = reader.read<std::uint8_t>("area");
  reader.skip<std::uint8_t>("model");
  endpoint.cell = reader.read<std::uint16_t>("block");
  const auto state = reader.read<std::uint8_t>("stage_state");
  const auto weight = reader.read<float>("weight");
  endpoint.started_at = reader.read_time("since");
  endpoint.state = read_endpoint_state(state, reader);
  const bool is_usable_weight = weight >= 0 && weight < kMaxWeight;
  endpoint.weight = is_usable_weight ? static_cast<double>(weight) : 0;
  return endpoint;
}

AttemptResult read_attempt_result(FrameReader& reader) {
  // Indexed by `disposition` - 1.
  static constexpr std::array kResults = {
      AttemptResult::succeeded,      AttemptResult::error, AttemptResult::rejected,  AttemptResult::timed_out,
      AttemptResult::connect_failed, AttemptResult::reset, AttemptResult::cancelled, AttemptResult::not_sent};
  const auto code = reader.read<std::uint16_t>("disposition");
  if (code < 1 || code > kResults.size()) reader.fail_unknown("disposition", code);
  return kResults[code - 1U];
}

AttemptOutcome read_outcome(FrameReader& reader) {
  AttemptOutcome outcome;
  outcome.result = read_attempt_result(reader);
  outcome.duration = reader.read_time("cost_time");
  return outcome;
}

LoadReport read_load_report(FrameReader& reader, const EventFormat& format) {
  LoadReport report;
  const auto count = reader.read<std::uint8_t>("stats");
  for (std::size_t position = 0; position < count; ++position) {
    const auto value = reader.read<float>("stats");
    const bool is_usable = value >= 0 && value < kMaxUtilization;
    if (format.utilization_index == position && is_usable) report.reported_utilization = value;
  }
  return report;
}

// Skips the attempt's number and backend, which the balancer already knows from the session.
void skip_attempt_identity(FrameReader& reader) {
  reader.skip<std::uint8_t>("send_no");
  reader.skip<std::uint32_t>("backend");
}

SessionRecord read_session_id_and_class(FrameReader& reader, const EventFormat& format) {
  SessionRecord session;
  session.id = reader.read<std::uint32_t>("req");
  session.traffic_class = reader.read<std::uint8_t>("band");
  if (session.traffic_class >= format.traffic_class_count) reader.fail_unknown("band", session.traffic_class);
  return session;
}

void read_session_keys(FrameReader& reader, SessionRecord& session) {
  session.group_key = reader.read<std::uint64_t>("room");
  session.client_key = reader.read<std::uint64_t>("affinity");
}

void read_session_attributes(FrameReader& reader, std::uint8_t flags, SessionRecord& session) {
  session.time_left = reader.read_time("expires_in");
  session.tenant = reader.read<std::uint32_t>("realm");
  const auto load_hint = reader.read<double>("work_hint");
  const bool has_load_hint = (flags & kHasLoadHint) != 0;
  if (has_load_hint && load_hint > 0) session.load_hint = load_hint * kMillisecondsPerSecond;
  session.is_mid_flow = (flags & kIsMidFlow) != 0;
  session.is_reconnecting = (flags & (kIsClientRetry | kIsReturningClient)) != 0;
}

}  // namespace

EndpointsUpdated read_endpoints_updated(FrameReader& reader) {
  EndpointsUpdated update;
  reader.skip<std::uint32_t>("index");
  const auto mode = reader.read<std::uint8_t>("mode");
  if (mode > static_cast<std::uint8_t>(ListMode::cached)) reader.fail_unknown("list mode", mode);
  update.mode = static_cast<ListMode>(mode);
  const auto count = reader.read<std::uint32_t>("rows");
  // No reserve(): a corrupt count must not make the process allocate gigabytes.
  for (std::uint32_t i = 0; i < count; ++i) update.endpoints.push_back(read_endpoint(reader));
  return update;
}

SessionRecord read_session_requested(FrameReader& reader, const EventFormat& format) {
  SessionRecord session = read_session_id_and_class(reader, format);
  const auto flags = reader.read<std::uint8_t>("bitmap");
  read_session_keys(reader, session);
  read_session_attributes(reader, flags, session);
  return session;
}

SessionRecord read_session_already_open(FrameReader& reader, const EventFormat& format) {
  SessionRecord session = read_session_id_and_class(reader, format);
  read_session_keys(reader, session);
  session.backend_id = reader.read<std::uint32_t>("backend");
  const auto flags = reader.read<std::uint8_t>("bitmap");
  read_session_attributes(reader, flags, session);
  return session;
}

AttemptEnded read_attempt_ended(FrameReader& reader, const EventFormat& format) {
  AttemptEnded event;
  event.session_id = reader.read<std::uint32_t>("req");
  skip_attempt_identity(reader);
  event.outcome = read_outcome(reader);
  event.is_session_finished = reader.read<std::uint8_t>("done_flag") != 0;
  event.report = read_load_report(reader, format);
  return event;
}

SessionEstablished read_session_established(FrameReader& reader) {
  SessionEstablished event;
  event.session_id = reader.read<std::uint32_t>("req");
  skip_attempt_identity(reader);
  event.duration = reader.read_time("cost_time");
  return event;
}

HealthCheckEnded read_health_check_ended(FrameReader& reader, const EventFormat& format) {
  HealthCheckEnded event;
  event.backend_id = reader.read<std::uint32_t>("backend");
  event.outcome = read_outcome(reader);
  event.report = read_load_report(reader, format);
  return event;
}

SessionUpdate read_session_update(FrameReader& reader) {
  SessionUpdate event;
  event.session_id = reader.read<std::uint32_t>("req");
  skip_attempt_identity(reader);
  event.kind = static_cast<SessionUpdateKind>(reader.read<std::uint8_t>("what"));
  event.amount = static_cast<double>(reader.read<float>("amount"));
  return event;
}

InstanceStarted read_instance_started(FrameReader& reader) {
  InstanceStarted event;
  event.seed = reader.read<std::uint64_t>("salt");
  const auto length = reader.read<std::uint32_t>("facts");
  event.settings = reader.read_bytes(length, "facts");
  return event;
}

void skip_peer_message(FrameReader& reader) {
  reader.skip<std::uint32_t>("author");
  const auto length = reader.read<std::uint16_t>("payload");
  reader.read_bytes(length, "payload");
}

}  // namespace cherryrail::simulator
