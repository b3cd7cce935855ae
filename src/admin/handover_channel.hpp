// The connection between two relay processes at a hot restart.
#pragma once

#include <cstdint>
#include <optional>

#include "net/file_descriptor.hpp"
#include "proxy/handover_message.hpp"

namespace cherryrail::admin {

enum class SendResult : std::uint8_t {
  sent,
  try_again,  // the socket's buffer is full, or too many descriptors are on their way
  too_large,  // for the socket: it never goes
  peer_gone,
};

struct ReceiveResult {
  std::optional<proxy::IncomingHandover> handover;  // none if nothing is there, or it was not understood
  bool is_peer_gone = false;                        // nothing more will come
};

// Sends and receives handover messages over a connected socket of type SOCK_SEQPACKET, one message a packet,
// with the descriptors that belong to it. Never waits.
class HandoverChannel {
 public:
  explicit HandoverChannel(net::FileDescriptor socket);

  // The descriptors of `handover` stay the caller's.
  [[nodiscard]] SendResult send(const proxy::OutgoingHandover& handover) const;
  // A message whose descriptors do not fit its kind counts as not understood; its descriptors are closed.
  [[nodiscard]] ReceiveResult receive() const;

  // The process at the other end, 0 if it is this one; none if it runs as another user.
  [[nodiscard]] std::optional<int> peer_process() const;
  // Owned by the channel; for watching it and for tests.
  [[nodiscard]] int descriptor() const { return socket_.get(); }

 private:
  net::FileDescriptor socket_;
};

}  // namespace cherryrail::admin
