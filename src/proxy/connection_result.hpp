// How the connections of a session end, as the log names it.
#pragma once

#include <cstdint>
#include <string_view>

#include "balancer/balancer.hpp"
#include "proxy/result_counts.hpp"

namespace cherryrail::proxy {

// How a peer ended its connection: after what it had to say, or by a reset or a failure.
enum class CloseKind : std::uint8_t { orderly, broken };

// How a client's connection ended.
enum class DownstreamResult : std::uint8_t {
  served,
  backend_closed,
  client_closed,  // before or after its session, by the client itself
  client_left,    // while its session was not answered yet
  migrated,
  handed_over,  // to the process that follows this one
  failed,
  early_data,  // more than the first line before the answer to it
  request_timeout,
  line_too_long,
  bad_request,
  no_descriptors,
  shutting_down,  // the process stops before the client has asked for a session
  rejected_shutting_down,
  rejected_attempts_failed,
  rejected_backends_warming_up,
  rejected_no_capacity,
  rejected_no_backend,
};

// How an attempt, or the backend's end of an established session, ended.
enum class UpstreamResult : std::uint8_t {
  served,
  error,
  rejected,
  timed_out,
  connect_failed,
  backend_closed,
  cancelled,
  not_sent,
  no_descriptors,
  abandoned,
  handed_over,
};

UpstreamResult to_upstream_result(AttemptResult result);

using DownstreamCounts = ResultCounts<DownstreamResult, DownstreamResult::rejected_no_backend>;
using UpstreamCounts = ResultCounts<UpstreamResult, UpstreamResult::handed_over>;

// The texts of the log's `result` field.
std::string_view to_string(DownstreamResult result);
std::string_view to_string(UpstreamResult result);

}  // namespace cherryrail::proxy
