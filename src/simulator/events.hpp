// The events of the simulator's wire as structs in the terms of the balancer.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "balancer/balancer.hpp"
#include "simulator/frame_reader.hpp"

namespace cherryrail::simulator {

// What a site's settings say on how to read events.
struct EventFormat {
  std::size_t traffic_class_count = 0;
  std::optional<std::size_t> utilization_index;  // in the `stats` of a load report
};

// An entry of an endpoint list: a backend as discovery sees it.
struct EndpointRecord {
  std::uint32_t backend = 0;
  unsigned zone = 0;
  unsigned cell = 0;
  EndpointState state = EndpointState::ready;
  double weight = 0;
  Micros started_at = 0;  // 0: long ago
};

struct EndpointsUpdated {
  ListMode mode = ListMode::complete;
  std::vector<EndpointRecord> endpoints;
};

// A session as Query and AlreadyOpen describe it; `backend` is set by AlreadyOpen alone.
struct SessionRecord {
  std::uint32_t id = 0;
  std::uint8_t traffic_class = 0;
  std::uint64_t group_key = 0;
  std::uint64_t client_key = 0;
  std::optional<std::uint32_t> backend;
  Micros time_left = 0;
  std::uint32_t tenant = 0;
  std::optional<double> load_hint;  // microseconds of work a second
  bool is_mid_flow = false;
  bool is_reconnecting = false;
};

struct AttemptEnded {
  std::uint32_t session = 0;
  AttemptOutcome outcome;
  bool is_session_finished = false;
  LoadReport report;
};

struct SessionEstablished {
  std::uint32_t session = 0;
  Micros duration = 0;
};

struct HealthCheckEnded {
  std::uint32_t backend = 0;
  AttemptOutcome outcome;
  LoadReport report;
};

struct SessionUpdate {
  std::uint32_t session = 0;
  SessionUpdateKind kind = SessionUpdateKind::load;
  double amount = 0;  // microseconds of work a second, or milliseconds that a message takes
};

struct InstanceStarted {
  std::uint64_t seed = 0;
  std::string_view settings;  // "path=value" lines, within the frame
};

// Each reads the fields behind a record's code and instance number. Throws WireError.
EndpointsUpdated read_endpoints_updated(FrameReader& reader);
SessionRecord read_session_requested(FrameReader& reader, const EventFormat& format);
SessionRecord read_session_already_open(FrameReader& reader, const EventFormat& format);
AttemptEnded read_attempt_ended(FrameReader& reader, const EventFormat& format);
SessionEstablished read_session_established(FrameReader& reader);
HealthCheckEnded read_health_check_ended(FrameReader& reader, const EventFormat& format);
SessionUpdate read_session_update(FrameReader& reader);
InstanceStarted read_instance_started(FrameReader& reader);
void skip_peer_message(FrameReader& reader);

}  // namespace cherryrail::simulator
