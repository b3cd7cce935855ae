// The interface through which a session uses its client connection.
#pragma once

#include <optional>
#include <string_view>

#include "proxy/connection_result.hpp"

namespace cherryrail::proxy {

// Implemented by ClientConnection. Each call that closes the connection also unregisters it from the session.
class DownstreamConnection {
 public:
  DownstreamConnection() = default;
  DownstreamConnection(const DownstreamConnection&) = delete;
  DownstreamConnection& operator=(const DownstreamConnection&) = delete;

  // Sends both pieces in one write; `suffix` may be empty. The first call marks the session as established.
  virtual void send(std::string_view bytes, std::string_view suffix) = 0;
  // Sends `last_line`, unless it is empty, and closes the connection once all data is sent.
  virtual void finish(std::string_view last_line, DownstreamResult result) = 0;
  // Closes with a TCP reset, used after the backend's connection broke.
  virtual void reset(DownstreamResult result) = 0;
  // Pauses or resumes reading from the client.
  virtual void set_reading(bool is_enabled) = 0;
  // Reads pending data from the socket at once, to find out whether the client has left.
  virtual void read_now() = 0;
  // The socket's descriptor, or nothing if a handover of the socket alone would lose data or state. The
  // connection keeps ownership.
  virtual std::optional<int> transferable_descriptor() const = 0;
  // Closes this process's descriptor after the successor has received its duplicate.
  virtual void release_to_successor() = 0;

 protected:
  ~DownstreamConnection() = default;
};

}  // namespace cherryrail::proxy
