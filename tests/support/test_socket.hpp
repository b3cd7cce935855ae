// A loopback socket for tests: the peer of one of the relay's connections, or a listener.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace cherryrail::testing {

// Owns its descriptor. Its calls do not block: they return what is available.
class TestSocket {
 public:
  explicit TestSocket(int fd = -1) : fd_(fd) {}
  TestSocket(TestSocket&& other) noexcept;
  TestSocket& operator=(TestSocket&& other) noexcept;
  TestSocket(const TestSocket&) = delete;
  TestSocket& operator=(const TestSocket&) = delete;
  ~TestSocket() { close(); }

  // A listener on loopback. Port 0 chooses a free port; any other port may have been in use until just now.
  static TestSocket listening(int port = 0);
  // A connection to a port on loopback. `receive_buffer` is in bytes, 0 for the system's default; a small one
  // makes this peer a slow reader.
  static TestSocket connected_to(int port, int receive_buffer = 0);

  explicit operator bool() const { return fd_ >= 0; }
  int fd() const { return fd_; }
  int port() const;

  // Accepts the next connection of this listener; returns an empty socket if none is pending.
  TestSocket accept() const;
  // Sends all of `text`, or fails the test.
  void send(std::string_view text) const;
  // Sends as much of `text` as the connection accepts now; returns the number of bytes.
  std::size_t send_some(std::string_view text) const;
  // Shuts down the sending direction; the socket can still receive.
  void finish_sending() const;
  void close();
  // Closes with a TCP reset.
  void reset();

  // All bytes received so far.
  const std::string& received();
  // Whether the peer has closed or reset the connection.
  bool is_ended_by_peer();
  // Whether the peer has reset the connection.
  bool is_reset_by_peer();

 private:
  int fd_;
  std::string received_;
  bool is_ended_by_peer_ = false;
  bool is_reset_by_peer_ = false;
};

}  // namespace cherryrail::testing
