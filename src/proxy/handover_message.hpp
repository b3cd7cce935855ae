// What a relay process hands over to its successor at a hot restart. The proxy makes and takes these
// messages; the admin part carries them between the two processes.
#pragma once

#include <map>
#include <string>
#include <variant>

#include "balancer/balancer.hpp"
#include "net/file_descriptor.hpp"

namespace cherryrail::proxy {

// A client that has not finished its first line; its one socket goes along.
struct PendingClient {
  std::string received;  // what it has written so far
  Micros waited = 0;     // for its first line
};

// A session that is open at a backend; the client's and the backend's sockets go along.
struct OpenSession {
  std::string open_request;  // the client's first line, without its end
  std::string backend;       // the backend's uid
  Micros waited = 0;         // since a line of the client, not answered yet, was passed on
};

// What operators changed that the file of disabled backends does not have yet; no socket goes along.
struct DisabledBackendChanges {
  std::map<std::string, bool> is_disabled;  // by the backend's uid
};

// A snapshot is what the balancer has learned; no socket goes along.
using HandoverMessage = std::variant<PendingClient, OpenSession, StateSnapshot, DisabledBackendChanges>;

// A message to send. The sockets stay the sender's: the process that receives gets duplicates.
struct OutgoingHandover {
  HandoverMessage message;
  int downstream = -1;  // the client's socket, -1 if none goes along
  int upstream = -1;    // the backend's socket, -1 if none goes along
};

// A message that was received, with the sockets that came along.
struct IncomingHandover {
  HandoverMessage message;
  net::FileDescriptor downstream;
  net::FileDescriptor upstream;
};

}  // namespace cherryrail::proxy
