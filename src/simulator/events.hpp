// The events of the simulator's wire, decoded into structs with the balancer's types and units.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "balancer/balancer.hpp"
#include "simulator/frame_reader.hpp"

namespace cherryrail::simulator {

// The parts of the event encoding that depend on the site's settings.
struct EventFormat {
  std::size_t traffic_class_count = 0;
  std::optional<std::size_t> utilization_index;  // index into the `stats` of a load report
};

// An entry of an endpoint list: a backend as discovery reports it.
struct EndpointRecord {
  std::uint32_t backend_id = 0;
  unsigned zone = 0;
  unsigned cell = 0;
  EndpointState state = EndpointState::ready;
  double weight = 0;
  Micros started_at = 0;  // 0: long ago, no slow start
};

struct EndpointsUpdated {
  ListMode mode = ListMode::complete;
  std::vector<EndpointRecord> endpoints;
};

// A session as described by Query or AlreadyOpen; only AlreadyOpen sets `backend_id`.
struct SessionRecord {
  std::uint32_t id = 0;
  std::uint8_t traffic_class = 0;
  std::uint64_t group_key = 0;
  std::uint64_t client_key = 0;
  std::optional<std::uint32_t> backend_id;
  Micros time_left = 0;
  std::uint32_t tenant = 0;
  std::optional<double> load_hint;  // microseconds of work per second
  bool is_mid_flow = false;
  bool is_reconnecting = false;
};

struct AttemptEnded {
  std::uint32_t session_id = 0;
  AttemptOutcome outcome;
  bool is_session_finished = false;
  LoadReport report;
};

struct SessionEstablished {
  std::uint32_t session_id = 0;
  Micros duration = 0;
};

struct HealthCheckEnded {
  std::uint32_t backend_id = 0;
  AttemptOutcome outcome;
  LoadReport report;
};

struct SessionUpdate {
  std::uint32_t session_id = 0;
  SessionUpdateKind kind = SessionUpdateKind::load;
  double amount = 0;  // load: microseconds of work per second; message_latency: milliseconds
};

struct InstanceStarted {
  std::uint64_t seed = 0;
  std::string_view settings;  // "path=value" lines; a view into the frame
};

// Each function reads the fields that follow a record's event code and instance id. Throws WireError if the
// record is truncated or holds an invalid value.
EndpointsUpdated read_endpoints_updated(FrameReader& reader);
SessionRecord read_session_requested(FrameReader& reader, const EventFormat& format);
SessionRecord read_session_already_open(FrameReader& reader, const EventFormat& format);
AttemptEnded read_attempt_ended(FrameReader& reader, const EventFormat& format);
SessionEstablished read_session_established(FrameReader& reader);
HealthCheckEnded read_health_check_ended(FrameReader& reader, const EventFormat& format);
SessionUpdate read_session_update(FrameReader& reader);
InstanceStarted read_instance_started(FrameReader& reader);
// Balancers exchange no messages, so the content of a peer message is ignored.
void skip_peer_message(FrameReader& reader);

}  // namespace cherryrail::simulator
