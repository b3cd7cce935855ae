// The messages between a relay process and its successor at a hot restart. The proxy creates and handles
// them; the admin module transfers them between the two processes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "balancer/balancer.hpp"
#include "net/file_descriptor.hpp"

namespace cherryrail::proxy {

// A client that has not completed its open request, sent along with its socket.
struct PendingClient {
  std::string received;  // the part of the open request received so far
  Micros waited = 0;     // time spent waiting for the open request
};

// A session established at a backend, sent along with the client's and the backend's sockets.
struct OpenSession {
  std::string open_request;  // the client's open request, without the line ending
  std::string backend;       // the backend's uid
  Micros waited = 0;         // time since the client's first unanswered line was forwarded, 0 if none
};

// Operators' changes that are not yet stored in the file of disabled backends; sent without a socket.
struct DisabledBackendChanges {
  std::map<std::string, bool> is_disabled;  // keyed by the backend's uid
};

// Hashes of session ids that the sender has claimed (SessionIdRegistry); sent without a socket, in both
// directions.
struct ClaimedSessionIds {
  std::vector<std::uint64_t> hashes;
};

// A part of an encoded EndpointSnapshot (admin/endpoint_snapshot_codec.hpp); sent without a socket, in both
// directions. The parts are sent in order and without other parts between them.
struct EndpointSnapshotPart {
  std::size_t index = 0;
  std::size_t count = 0;  // of parts
  std::string bytes;
};

// The state snapshot holds the balancer's learned state and is sent without a socket.
using HandoverMessage = std::variant<PendingClient, OpenSession, StateSnapshot, DisabledBackendChanges,
                                     ClaimedSessionIds, EndpointSnapshotPart>;

// A message to send. The sender keeps its sockets; the receiving process gets duplicates.
struct OutgoingHandover {
  HandoverMessage message;
  int downstream = -1;  // the client's socket, -1 for none
  int upstream = -1;    // the backend's socket, -1 for none
};

// A received message and its sockets.
struct IncomingHandover {
  HandoverMessage message;
  net::FileDescriptor downstream;
  net::FileDescriptor upstream;
};

}  // namespace cherryrail::proxy
