// The statistics that a relay exports: counters since its process started, and current values.
#pragma once

#include <cstddef>
#include <cstdint>

#include "proxy/connection_result.hpp"
#include "proxy/invariant_monitor.hpp"

namespace cherryrail::proxy {

struct ProxyStatistics {
  DownstreamCounts downstream;
  UpstreamCounts attempts;
  InvariantMonitor invariants;
  std::size_t sessions = 0;           // established or waiting for a backend
  std::size_t descriptors = 0;        // in use, as counted by the relay itself
  std::size_t timers = 0;             // scheduled calls
  std::size_t ended_session_ids = 0;  // ids that are still refused after their sessions have ended
  Micros wall_clock_step = 0;         // since the start
  std::uint64_t lost_log_lines = 0;
};

}  // namespace cherryrail::proxy
