// The client's end of a session, as the session sees it.
#pragma once

#include <optional>
#include <string_view>

#include "proxy/connection_result.hpp"

namespace cherryrail::proxy {

class DownstreamConnection {
 public:
  DownstreamConnection() = default;
  DownstreamConnection(const DownstreamConnection&) = delete;
  DownstreamConnection& operator=(const DownstreamConnection&) = delete;

  // Both pieces go out in one write; `suffix` may be empty. The first bytes sent establish the session.
  virtual void send(std::string_view bytes, std::string_view suffix) = 0;
  // Sends `last_line`, unless it is empty, and closes once it has gone out.
  virtual void finish(std::string_view last_line, DownstreamResult result) = 0;
  // Closes with a reset, as the backend did.
  virtual void reset(DownstreamResult result) = 0;
  virtual void set_reading(bool wanted) = 0;
  // Reads at once what the socket holds: the client may have left meanwhile.
  virtual void read_now() = 0;
  // The socket's descriptor, if no bytes wait here and the socket is all that a successor needs; the
  // connection keeps it.
  virtual std::optional<int> transferable_descriptor() const = 0;
  // Closes this process's copy: the successor has its own.
  virtual void release_to_successor() = 0;

 protected:
  ~DownstreamConnection() = default;
};

}  // namespace cherryrail::proxy
