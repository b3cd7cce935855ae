// One TCP connection on the event loop: reads, gathered writes, ends. It knows nothing of what the bytes
// mean.
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

namespace cherryrail::net {

// What the owner of a connection is told, always from the event loop or from read_now, never from within
// another call on the connection. The connection may be closed from within any of these.
class ConnectionHandler {
 public:
  // A connection that was started by connect is established.
  virtual void on_connected() {}
  // Bytes that have come in; they are valid during the call alone.
  virtual void on_received(std::string_view bytes) = 0;
  // The peer sends no more; it may still read.
  virtual void on_end_of_stream() = 0;
  // Reset, refused or unreachable; the connection is closed by then.
  virtual void on_connection_lost() = 0;
  // What had to wait in the connection's buffer has gone out.
  virtual void on_all_sent() {}

 protected:
  ~ConnectionHandler() = default;
};

class Connection;

// What came of starting to connect.
struct ConnectAttempt {
  std::shared_ptr<Connection> connection;  // null if not even the attempt could be made
  bool is_local_failure = false;           // that was this machine's own lack: a descriptor, a port, a route
};

// A connection is held by its owner and, while it lingers after close_gracefully, by a timer of the loop. The
// handler has to outlive the connection or close it.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  // A connection on a socket that is connected already: accepted, or taken over from another process.
  static std::shared_ptr<Connection> adopt(EventLoop& event_loop, SocketPtr socket,
                                           ConnectionHandler& handler);
  // Starts to connect; the handler is told of the end of that. A null address cannot be attempted.
  static ConnectAttempt connect(EventLoop& event_loop, const Address& to, ConnectionHandler& handler);
  Connection(EventLoop& event_loop, SocketPtr socket, ConnectionHandler& handler, bool is_connecting);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Sends the pieces one after the other; what the kernel does not take at once is copied and sent later.
  void send(std::initializer_list<std::string_view> pieces);
  // Ends this side's sending once what waits has gone out; reading goes on.
  void end_sending();
  // Closes once what waits has gone out and the peer has ended or fallen silent. The handler hears no more.
  void close_gracefully();
  // Closes after a last line: drops the input that lies unread, which would turn the close into a reset.
  // Where the kernel does not take the whole line yet, it closes gracefully instead.
  void close_discarding_input();
  void close();
  // Closes with a reset.
  void reset();

  // Reads at once what has come in, without waiting for the loop.
  void read_now();
  // Whether input is read; while it is not, it stays in the kernel and TCP holds the peer back.
  void set_reading(bool is_wanted);

  bool is_open() const { return socket_ != nullptr; }
  std::size_t unsent_bytes() const { return unsent_.size(); }
  // Whether the socket alone is the whole state: both ends still send and nothing waits here, so another
  // process that gets the descriptor can go on with the connection.
  bool is_transferable() const;
  // Of a connection that is open.
  int descriptor() const;

 private:
  enum class SendState : std::uint8_t { open, ending, ended };

  void on_ready(bool is_readable, bool is_writable);
  void finish_connecting();
  void receive();
  void discard();
  std::optional<std::size_t> write_gathered(std::initializer_list<std::string_view> pieces);
  void keep_unsent(std::initializer_list<std::string_view> pieces, std::size_t sent);
  void flush();
  void shut_down_sending();
  void linger_until_quiet(Micros latest);
  void update_interest();
  void release_buffer();
  void fail();
  void fail_after_this_step();

  EventLoop& event_loop_;
  SocketPtr socket_;
  std::unique_ptr<IoWatch> watch_;
  ConnectionHandler* handler_;  // null once it is to hear no more
  std::string unsent_;
  Micros last_discard_at_ = 0;
  bool is_connecting_;
  bool is_reading_ = true;
  bool is_lingering_ = false;  // close_gracefully is under way
  bool has_peer_ended_ = false;
  SendState send_state_ = SendState::open;
};

}  // namespace cherryrail::net
