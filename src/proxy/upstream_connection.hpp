// The backend's end of a session, as the session sees it: an attempt, or the established connection.
#pragma once

#include <optional>
#include <string_view>

namespace cherryrail::proxy {

class UpstreamConnection {
 public:
  UpstreamConnection() = default;
  UpstreamConnection(const UpstreamConnection&) = delete;
  UpstreamConnection& operator=(const UpstreamConnection&) = delete;

  virtual void send(std::string_view bytes) = 0;
  virtual void end_sending() = 0;  // the client sends no more
  // Whether some of the open request may have reached the backend, which has not answered yet.
  virtual bool has_sent_request() const = 0;
  // Closes; the session is told nothing more by it.
  virtual void abandon() = 0;
  virtual void reset() = 0;  // the same with a reset
  virtual void set_reading(bool wanted) = 0;
  // As in DownstreamConnection.
  virtual std::optional<int> transferable_descriptor() const = 0;
  virtual void release_to_successor() = 0;

 protected:
  ~UpstreamConnection() = default;
};

}  // namespace cherryrail::proxy
