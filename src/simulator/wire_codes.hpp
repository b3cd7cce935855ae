// Numeric codes and header sizes of the simulator's wire. The comment after each code is its wire name.
#pragma once

#include <bit>
#include <cstddef>
#include <cstdint>

namespace cherryrail::simulator {

static_assert(std::endian::native == std::endian::little,
              "the wire is little-endian and its fields are copied to and from memory without conversion");

// Batch header: the clock (f64, milliseconds), the length of the whole frame in bytes (u32) and the number of
// records (u32). Reply header: the length of the whole frame in bytes (u32).
constexpr std::size_t kBatchLengthOffsetBytes = 8;
constexpr std::size_t kBatchHeaderBytes = 16;
constexpr std::size_t kReplyHeaderBytes = 4;

// Events that the simulator sends to an instance. Events and commands have separate code spaces.
enum class EventCode : std::uint16_t {
  health_check_ended = 1000,    // Health
  instance_stopped = 1010,      // Shutdown
  peer_message = 1020,          // PeerData
  session_requested = 1030,     // Query
  session_update = 1040,        // Heartbeat
  client_left = 1050,           // ClientGone
  timer_expired = 1060,         // Wakeup
  instance_started = 1070,      // Spawn
  endpoints_updated = 1080,     // RosterChange
  session_established = 1090,   // Established
  session_already_open = 1100,  // AlreadyOpen
  attempt_ended = 1110,         // Outcome
};

// Commands that an instance sends to the simulator.
enum class CommandCode : std::uint16_t {
  start_attempt = 1000,    // Forward
  reject_session = 1010,   // Bounce
  fail_session = 1020,     // Fail
  cancel_attempt = 1030,   // Abandon
  set_timer = 1040,        // WakeAt
  check_health = 1050,     // HealthCheck
  log_line = 1080,         // NoteDown
  report_fault = 1090,     // BailOut
  watch_endpoints = 1100,  // Subscribe
  migrate_session = 1120,  // Move
};

// Flags in the `bitmap` field of a session.
constexpr std::uint8_t kHasLoadHint = 1;
constexpr std::uint8_t kIsClientRetry = 2;
constexpr std::uint8_t kIsMidFlow = 8;
constexpr std::uint8_t kIsReturningClient = 16;

// Values of the `mode` field of an endpoint list.
enum class ListMode : std::uint8_t { complete = 0, changes = 1, failed = 2, cached = 3 };

// Values of the `what` field of a Heartbeat.
enum class SessionUpdateKind : std::uint8_t { load = 1, message_latency = 2 };

}  // namespace cherryrail::simulator
