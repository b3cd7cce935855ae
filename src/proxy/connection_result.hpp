// How the connections of a session end, as written to the log.
#pragma once

#include <cstdint>
#include <string_view>

#include "balancer/balancer.hpp"
#include "proxy/result_counts.hpp"

namespace cherryrail::proxy {

// How a peer ended its connection: by an orderly close, or by a reset or a failure.
enum class CloseKind : std::uint8_t { orderly, broken };

// How a client's connection ended.
enum class DownstreamResult : std::uint8_t {
  served,
  backend_closed,
  client_closed,  // closed by the client: without a session, or by a reset or a failure
  client_left,    // closed in an orderly way by the client before its open request was answered
  migrated,
  handed_over,  // to the successor at a hot restart
  failed,
  early_data,  // the client sent data before its open request was answered
  request_timeout,
  line_too_long,
  bad_request,
  no_descriptors,
  shutting_down,  // process shutdown before the client sent an open request
  rejected_shutting_down,
  rejected_attempts_failed,
  rejected_backends_warming_up,
  rejected_no_capacity,
  rejected_no_backend,
};

// How an attempt, or the upstream connection of an established session, ended.
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

// The connection's result for an attempt's result, where no local failure or abandonment determines it.
UpstreamResult to_upstream_result(AttemptResult result);

using DownstreamCounts = ResultCounts<DownstreamResult, DownstreamResult::rejected_no_backend>;
using UpstreamCounts = ResultCounts<UpstreamResult, UpstreamResult::handed_over>;

// The value of the log's `result` field.
std::string_view to_string(DownstreamResult result);
std::string_view to_string(UpstreamResult result);

}  // namespace cherryrail::proxy
