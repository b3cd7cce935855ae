// The interface through which a session uses its backend connection, during the attempt and once established.
#pragma once

#include <optional>
#include <string_view>

namespace cherryrail::proxy {

// Implemented by BackendConnection.
class UpstreamConnection {
 public:
  UpstreamConnection() = default;
  UpstreamConnection(const UpstreamConnection&) = delete;
  UpstreamConnection& operator=(const UpstreamConnection&) = delete;

  virtual void send(std::string_view bytes) = 0;
  virtual void end_sending() = 0;  // closes the sending side, after the client has closed its own
  // Whether part of the open request may have reached the backend and no answer has arrived yet.
  virtual bool has_sent_request() const = 0;
  // Closes the connection; the session receives no further calls from it.
  virtual void abandon() = 0;
  virtual void reset() = 0;  // like abandon(), but closes with a TCP reset
  // Pauses or resumes reading from the backend.
  virtual void set_reading(bool is_enabled) = 0;
  // As in DownstreamConnection.
  virtual std::optional<int> transferable_descriptor() const = 0;
  virtual void release_to_successor() = 0;

 protected:
  ~UpstreamConnection() = default;
};

}  // namespace cherryrail::proxy
