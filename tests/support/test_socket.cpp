#include "support/test_socket.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdint>
#include <utility>

namespace cherryrail::testing {
namespace {

// More connections than any test opens at once, so that connecting never waits for the relay to accept.
constexpr int kListenBacklog = 4096;

sockaddr_in loopback_address(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

}  // namespace

TestSocket::TestSocket(TestSocket&& other) noexcept
    : fd_(std::exchange(other.fd_, -1)), received_(std::move(other.received_)),
      is_ended_by_peer_(other.is_ended_by_peer_), is_reset_by_peer_(other.is_reset_by_peer_) {}

TestSocket& TestSocket::operator=(TestSocket&& other) noexcept {
  std::swap(fd_, other.fd_);
  received_ = std::move(other.received_);
  is_ended_by_peer_ = other.is_ended_by_peer_;
  is_reset_by_peer_ = other.is_reset_by_peer_;
  return *this;
}

TestSocket TestSocket::listening(int port) {
  TestSocket listener(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
  const int reuse_address = 1;
  if (port > 0) setsockopt(listener.fd_, SOL_SOCKET, SO_REUSEADDR, &reuse_address, sizeof(reuse_address));
  sockaddr_in address = loopback_address(port);
  EXPECT_EQ(bind(listener.fd_, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
  listen(listener.fd_, kListenBacklog);
  return listener;
}

TestSocket TestSocket::connected_to(int port, int receive_buffer) {
  TestSocket connection(socket(AF_INET, SOCK_STREAM, 0));
  if (receive_buffer > 0)
    setsockopt(connection.fd_, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof(receive_buffer));
  sockaddr_in address = loopback_address(port);
  // The result is ignored: a test may expect that the port refuses connections.
  // NOLINTNEXTLINE(bugprone-unused-return-value)
  connect(connection.fd_, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  fcntl(connection.fd_, F_SETFL, O_NONBLOCK);
  return connection;
}

int TestSocket::port() const {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

TestSocket TestSocket::accept() const { return TestSocket(::accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK)); }

void TestSocket::send(std::string_view text) const { EXPECT_EQ(send_some(text), text.size()); }

std::size_t TestSocket::send_some(std::string_view text) const {
  return static_cast<std::size_t>(std::max<ssize_t>(0, ::send(fd_, text.data(), text.size(), MSG_NOSIGNAL)));
}

void TestSocket::finish_sending() const { shutdown(fd_, SHUT_WR); }

void TestSocket::close() {
  if (fd_ >= 0) ::close(std::exchange(fd_, -1));
}

void TestSocket::reset() {
  const linger reset_on_close{1, 0};
  setsockopt(fd_, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof(reset_on_close));
  close();
}

const std::string& TestSocket::received() {
  std::array<char, 4096> bytes{};
  ssize_t count = recv(fd_, bytes.data(), bytes.size(), 0);
  while (count > 0) {
    received_.append(bytes.data(), static_cast<std::size_t>(count));
    count = recv(fd_, bytes.data(), bytes.size(), 0);
  }
  is_reset_by_peer_ = is_reset_by_peer_ || (count < 0 && errno == ECONNRESET);
  is_ended_by_peer_ = is_ended_by_peer_ || count == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
  return received_;
}

bool TestSocket::is_reset_by_peer() {
  received();
  return is_reset_by_peer_;
}

bool TestSocket::is_ended_by_peer() {
  received();
  return is_ended_by_peer_;
}

}  // namespace cherryrail::testing
