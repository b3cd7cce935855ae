// The list of backends in the form that endpoint discovery sends and the relay's file keeps it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "balancer/balancer.hpp"
#include "protocol/protocol_error.hpp"

namespace cherryrail::protocol {

struct EndpointEntry {
  std::string uid;
  std::string address;  // host and port, not checked here
  std::string zone;
  unsigned cell = 0;
  EndpointState state = EndpointState::ready;
  double capacity_hint = 1;  // relative to other backends
  Micros started_at = 0;     // Unix time; 0 if not stated
};

struct EndpointList {
  std::int64_t version = 0;
  bool is_complete = false;  // names every backend; else only those that changed
  std::vector<EndpointEntry> entries;
  std::size_t skipped_entries = 0;  // in a state that is not known here
};

// Both throw ProtocolError. Discovery reads lines, the configuration the list that its file holds.
EndpointList parse_endpoint_list(const nlohmann::json& json);
EndpointList parse_endpoint_list(std::string_view text);

}  // namespace cherryrail::protocol
