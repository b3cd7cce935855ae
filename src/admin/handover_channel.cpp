#include "admin/handover_channel.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <memory>
#include <span>
#include <utility>
#include <variant>
#include <vector>

#include "admin/handover_codec.hpp"

namespace cherryrail::admin {
namespace {

// The longest message is a state snapshot, with some 90 bytes per backend. This build sends it in parts,
// earlier builds in one message: this size is enough for more than 5000 backends.
constexpr std::size_t kMaxMessageBytes = 524'288;
constexpr std::size_t kMaxDescriptors = 2;  // downstream and upstream
constexpr std::size_t kMaxDescriptorBytes = kMaxDescriptors * sizeof(int);

// Buffer for the descriptors of one message.
struct ControlBuffer {
  alignas(cmsghdr) std::array<char, CMSG_SPACE(kMaxDescriptorBytes)> bytes;
};

msghdr message_header(iovec& content, ControlBuffer& control, std::size_t control_size) {
  msghdr header{};
  header.msg_iov = &content;
  header.msg_iovlen = 1;
  header.msg_control = control_size > 0 ? control.bytes.data() : nullptr;
  header.msg_controllen = control_size;
  return header;
}

std::size_t count_descriptors(const proxy::OutgoingHandover& handover) {
  if (handover.downstream < 0) return 0;
  return handover.upstream < 0 ? 1 : 2;
}

void attach_descriptors(msghdr& header, const proxy::OutgoingHandover& handover, std::size_t size) {
  cmsghdr* control = CMSG_FIRSTHDR(&header);
  if (!control) return;
  const std::array<int, kMaxDescriptors> descriptors{handover.downstream, handover.upstream};
  control->cmsg_level = SOL_SOCKET;
  control->cmsg_type = SCM_RIGHTS;
  control->cmsg_len = CMSG_LEN(size);
  std::memcpy(CMSG_DATA(control), descriptors.data(), size);
}

std::array<net::FileDescriptor, kMaxDescriptors> extract_descriptors(msghdr& header) {
  std::array<int, kMaxDescriptors> descriptors{-1, -1};
  for (cmsghdr* control = CMSG_FIRSTHDR(&header); control; control = CMSG_NXTHDR(&header, control)) {
    if (control->cmsg_level != SOL_SOCKET || control->cmsg_type != SCM_RIGHTS) continue;
    const std::size_t size = control->cmsg_len - CMSG_LEN(0);
    std::memcpy(descriptors.data(), CMSG_DATA(control), std::min(kMaxDescriptorBytes, size));
  }
  return {net::FileDescriptor(descriptors[0]), net::FileDescriptor(descriptors[1])};
}

// Whether the next call may succeed after this error of recvmsg().
bool is_transient(int error) {
  return error == EAGAIN || error == EINTR || error == ENOBUFS || error == ENOMEM;
}

bool descriptors_match_message(const proxy::IncomingHandover& handover) {
  const bool needs_none = !std::holds_alternative<proxy::PendingClient>(handover.message) &&
                          !std::holds_alternative<proxy::OpenSession>(handover.message);
  if (needs_none) return true;
  const bool needs_upstream = std::holds_alternative<proxy::OpenSession>(handover.message);
  return handover.downstream && needs_upstream == static_cast<bool>(handover.upstream);
}

}  // namespace

HandoverChannel::HandoverChannel(net::FileDescriptor socket) : socket_(std::move(socket)) {}

SendResult HandoverChannel::send(const proxy::OutgoingHandover& handover) const {
  std::vector<std::uint8_t> bytes = encode_handover(handover.message);
  const std::size_t descriptors_size = count_descriptors(handover) * sizeof(int);
  ControlBuffer control{};
  iovec content{bytes.data(), bytes.size()};
  msghdr header = message_header(content, control, descriptors_size > 0 ? CMSG_SPACE(descriptors_size) : 0);
  attach_descriptors(header, handover, descriptors_size);
  if (sendmsg(socket_.get(), &header, MSG_NOSIGNAL | MSG_DONTWAIT) >= 0) return SendResult::sent;
  if (errno == EMSGSIZE) return SendResult::too_large;
  const bool is_peer_gone = errno == EPIPE || errno == ECONNRESET || errno == ENOTCONN;
  return is_peer_gone ? SendResult::peer_gone : SendResult::try_again;
}

ReceiveResult HandoverChannel::receive() const {
  const auto bytes = std::make_unique_for_overwrite<std::array<std::uint8_t, kMaxMessageBytes>>();
  ControlBuffer control{};
  iovec content{bytes->data(), bytes->size()};
  msghdr header = message_header(content, control, control.bytes.size());
  const ssize_t size = recvmsg(socket_.get(), &header, MSG_DONTWAIT | MSG_CMSG_CLOEXEC);
  if (size < 0) return {{}, !is_transient(errno)};
  if (size == 0) return {{}, true};
  auto [downstream, upstream] = extract_descriptors(header);
  auto message = decode_handover(std::span(bytes->data(), static_cast<std::size_t>(size)));
  if (!message) return {};
  proxy::IncomingHandover handover{std::move(*message), std::move(downstream), std::move(upstream)};
  if (!descriptors_match_message(handover)) return {};
  return {std::move(handover), false};
}

std::optional<int> HandoverChannel::peer_process() const {
  ucred peer{};
  socklen_t size = sizeof(peer);
  if (getsockopt(socket_.get(), SOL_SOCKET, SO_PEERCRED, &peer, &size) != 0) return std::nullopt;
  if (peer.uid != geteuid()) return std::nullopt;
  return peer.pid != getpid() ? peer.pid : 0;
}

}  // namespace cherryrail::admin
