// The list of backends in discovery's form.
#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "balancer/balancer.hpp"

namespace cherryrail::protocol {

struct EndpointEntry {
  std::string uid, endpoint, zone;
  unsigned cell = 0;
  EndpointState state = EndpointState::ready;
  double size = 1;
  Micros started_at = 0;  // Unix time
};

struct EndpointList {
  std::int64_t version = 0;
  bool whole = false;
  std::vector<EndpointEntry> entries;
  std::size_t skipped = 0;  // entries in no known state
};

// Throw std::runtime_error naming what is wrong.
EndpointList read_list(const nlohmann::json& json);
EndpointList read_list(std::string_view text);

}  // namespace cherryrail::protocol
