// A loopback socket in a test's hands: the far end of one of the relay's connections, or a listener.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace cherryrail::testing {

// Owns its descriptor. Nothing blocks: a call that can't go on returns what there is.
class TestSocket {
 public:
  explicit TestSocket(int fd = -1) : fd_(fd) {}
  TestSocket(TestSocket&& other) noexcept;
  TestSocket& operator=(TestSocket&& other) noexcept;
  TestSocket(const TestSocket&) = delete;
  TestSocket& operator=(const TestSocket&) = delete;
  ~TestSocket() { close(); }

  // A listener on loopback; port 0 takes a free one, any other may have been used a moment ago.
  static TestSocket listening(int port = 0);
  // A connection to a port on loopback; a small receive buffer makes a slow reader.
  static TestSocket connected_to(int port, int receive_buffer = 0);

  explicit operator bool() const { return fd_ >= 0; }
  int fd() const { return fd_; }
  int port() const;

  // The next connection at this listener, empty where none waits.
  TestSocket accept() const;
  // Sends all of it, or fails the test.
  void send(std::string_view text) const;
  // Sends what the connection takes now, and tells how many bytes that was.
  std::size_t send_some(std::string_view text) const;
  // Ends the sending direction and goes on reading.
  void finish_sending() const;
  void close();
  // Closes with a TCP reset.
  void reset();

  // All that has come so far.
  const std::string& received();
  // Whether the peer has ended the connection, in whichever way.
  bool is_ended_by_peer();
  // Whether it has done so with a TCP reset.
  bool is_reset_by_peer();

 private:
  int fd_;
  std::string received_;
  bool is_ended_by_peer_ = false;
  bool is_reset_by_peer_ = false;
};

}  // namespace cherryrail::testing
