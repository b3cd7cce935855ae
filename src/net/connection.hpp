// One TCP connection on the event loop: reading, gathered writes, half-close and close. It does not interpret
// the bytes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "net/address.hpp"
#include "net/event_loop.hpp"
#include "net/socket.hpp"
#include "net/timer.hpp"

namespace cherryrail::net {

// Callbacks to the owner of a connection. They are made from the event loop or from read_now, never during
// another call on the connection. Any of them may close the connection.
class ConnectionHandler {
 public:
  // A connection started by connect() is established.
  virtual void on_connected() {}
  // Input; `bytes` are valid only during the call.
  virtual void on_received(std::string_view bytes) = 0;
  // The peer has ended its sending; it may still read.
  virtual void on_end_of_stream() = 0;
  // The connection was reset or refused, or the peer is unreachable. The connection is already closed.
  virtual void on_connection_lost() = 0;
  // The send buffer has been written completely.
  virtual void on_all_sent() {}

 protected:
  ~ConnectionHandler() = default;
};

class Connection;

// The result of starting to connect.
struct ConnectAttempt {
  std::shared_ptr<Connection> connection;  // null if connecting could not be started
  bool is_local_failure = false;           // this host lacks a descriptor, a port or a route
};

// A connection is owned by its user and, while it lingers after close_gracefully, by its own timer. The
// handler must outlive the connection or close it.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  // Creates a connection from a connected socket: one that was accepted or received from another process.
  static std::shared_ptr<Connection> adopt(EventLoop& event_loop, SocketPtr socket,
                                           ConnectionHandler& handler);
  // Starts to connect; the handler is notified of the result. A null address gives no connection.
  static ConnectAttempt connect(EventLoop& event_loop, const Address& to, ConnectionHandler& handler);
  Connection(EventLoop& event_loop, SocketPtr socket, ConnectionHandler& handler, bool is_connecting);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Sends the pieces in order. What the kernel does not accept immediately is copied to the send buffer and
  // sent later.
  void send(std::initializer_list<std::string_view> pieces);
  // Half-closes the connection once the send buffer is written; reading continues.
  void end_sending();
  // Closes once the send buffer is written and the peer has ended its sending; at the latest once the buffer
  // is written and the peer has sent nothing for one second, or after four seconds in total. The handler gets
  // no more callbacks.
  void close_gracefully();
  // Closes after a last line. Discards unread input, which would turn the close into a reset. Closes
  // gracefully instead if the kernel does not accept the whole send buffer.
  void close_discarding_input();
  void close();
  // Closes with a TCP reset.
  void reset();

  // Reads available input immediately, without waiting for the event loop.
  void read_now();
  // Enables or disables reading. While disabled, input stays in the kernel and TCP flow control slows the
  // peer.
  void set_reading(bool is_wanted);
  // From now on a reset by the peer is reported also while reading is disabled. Input that was not read by
  // then is lost.
  void report_resets_at_once();

  bool is_open() const { return socket_ != nullptr; }
  std::size_t unsent_bytes() const { return unsent_.size(); }
  // Whether another process that gets the descriptor can continue the connection: both directions are open
  // and the send buffer is empty, so the socket holds the whole state.
  bool is_transferable() const;
  // Requires an open connection.
  int descriptor() const;

 private:
  enum class SendState : std::uint8_t { open, ending, ended };

  void on_ready(bool is_readable, bool is_writable);
  void finish_connecting();
  void check_hang_up();
  void receive();
  void discard_received();
  std::optional<std::size_t> write_gathered(std::initializer_list<std::string_view> pieces);
  void buffer_unsent(std::initializer_list<std::string_view> pieces, std::size_t sent);
  void flush();
  void shut_down_sending();
  void linger_until_idle(Micros deadline);
  void update_interest();
  void release_buffer();
  void fail();
  void post_failure();

  EventLoop& event_loop_;
  SocketPtr socket_;
  std::unique_ptr<IoWatch> watch_;
  ConnectionHandler* handler_;  // null once it gets no more callbacks
  std::string unsent_;
  Micros last_discard_at_ = 0;
  Timer linger_timer_;  // owns the connection while it lingers
  bool is_connecting_;
  bool is_reading_ = true;
  bool is_lingering_ = false;  // close_gracefully is in progress
  bool has_peer_ended_sending_ = false;
  bool wants_hang_up_ = false;  // report_resets_at_once() is in effect
  SendState send_state_ = SendState::open;
};

}  // namespace cherryrail::net
