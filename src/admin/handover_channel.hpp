// The connection between two relay processes during a hot restart.
#pragma once

#include <cstdint>
#include <optional>

#include "net/file_descriptor.hpp"
#include "proxy/handover_message.hpp"

namespace cherryrail::admin {

enum class SendResult : std::uint8_t {
  sent,
  try_again,  // the socket's buffer is full, or too many descriptors are in flight
  too_large,  // the message exceeds the socket's limit and can never be sent
  peer_gone,
};

struct ReceiveResult {
  std::optional<proxy::IncomingHandover> handover;  // none if no message is available, or it is malformed
  bool is_peer_gone = false;                        // no message will follow
};

// Sends and receives handover messages over a connected socket of type SOCK_SEQPACKET: one message per
// packet, together with its descriptors. Never blocks.
class HandoverChannel {
 public:
  explicit HandoverChannel(net::FileDescriptor socket);

  // The caller keeps ownership of the descriptors of `handover`.
  [[nodiscard]] SendResult send(const proxy::OutgoingHandover& handover) const;
  // A message whose descriptors do not match its type is treated as malformed, and its descriptors are
  // closed.
  [[nodiscard]] ReceiveResult receive() const;

  // The process id of the peer, 0 if it is this process; none if the peer runs as another user.
  [[nodiscard]] std::optional<int> peer_process() const;
  // The socket, owned by the channel; for I/O watches and tests.
  [[nodiscard]] int descriptor() const { return socket_.get(); }

 private:
  net::FileDescriptor socket_;
};

}  // namespace cherryrail::admin
