// What goes from one process to the next: a client that has asked for nothing yet, a tunnel, or what was
// learned.
#pragma once

#include <optional>
#include <string>

#include "balancer/balancer.hpp"

namespace cherryrail::proxy {

struct HandoverMessage {
  std::string begun;    // what a client without a tunnel has written so far
  std::string head;     // a tunnel's first line
  std::string backend;  // and where it is open
  Micros waited = 0;    // for its first line; or since a line of the client, yet unanswered, went on
  std::optional<StateSnapshot> memory;  // then there is nothing else
  int client = -1, server = -1;         // descriptors; whose they are, the function that takes this says
};

}  // namespace cherryrail::proxy
