// Parses and writes the endpoint list, in the JSON format that discovery sends and the relay's configuration
// file holds.
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
  std::string address;  // host and port, not validated here
  std::string zone;
  unsigned cell = 0;
  EndpointState state = EndpointState::ready;
  double capacity_hint = 1;  // relative to other backends
  Micros started_at = 0;     // Unix time; 0 if missing

  bool operator==(const EndpointEntry&) const = default;
};

struct EndpointList {
  std::int64_t version = 0;
  bool is_complete = false;  // lists every backend; otherwise only those that changed
  std::vector<EndpointEntry> entries;
  std::size_t skipped_entries = 0;  // entries in an unknown state
};

// Both throw ProtocolError. The first parses the list in the configuration file, the second a line from
// discovery.
EndpointList parse_endpoint_list(const nlohmann::json& json);
EndpointList parse_endpoint_list(std::string_view text);

// The list in the form that parse_endpoint_list() reads.
nlohmann::json to_json(const EndpointList& list);

}  // namespace cherryrail::protocol
