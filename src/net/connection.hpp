// One TCP connection on the loop: reads, gathered writes, ends. Knows nothing of what the bytes mean.
#pragma once

#include <gio/gio.h>

#include <initializer_list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "net/event_loop.hpp"

namespace cherryrail::net {

struct GObjectUnref {
  void operator()(gpointer object) const { g_object_unref(object); }
};
using SocketPtr = std::unique_ptr<GSocket, GObjectUnref>;
using Address = std::shared_ptr<GSocketAddress>;

// Takes over a socket that exists already; `fd` is closed with it. Throws std::runtime_error.
SocketPtr adopt_socket(int fd);

// "10.0.0.4:7070" or "[::1]:7070"; empty where it is neither.
Address parse_address(const std::string& text);

// A line to somebody who is not taken in.
void send_and_close(SocketPtr socket, std::string_view line);

// What the owner of a connection is told. The connection may be closed from within any of these.
class ConnectionHandler {
 public:
  virtual void on_connected() {}
  virtual void on_received(std::string_view bytes) = 0;
  virtual void on_end_of_stream() = 0;    // the peer sends no more
  virtual void on_connection_lost() = 0;  // reset, refused or unreachable
  virtual void on_all_sent() {}           // what had to wait has gone out

 protected:
  ~ConnectionHandler() = default;
};

class Connection;

// What came of starting to connect.
struct ConnectAttempt {
  std::shared_ptr<Connection> connection;  // null if not even the attempt could be made
  bool is_out_of_descriptors = false;      // that was this process's own lack of a descriptor
};

class Connection : public std::enable_shared_from_this<Connection> {
 public:
  static std::shared_ptr<Connection> adopt(EventLoop& event_loop, SocketPtr socket, ConnectionHandler& owner);
  static ConnectAttempt connect(EventLoop& event_loop, const Address& to, ConnectionHandler& owner);
  Connection(EventLoop& event_loop, SocketPtr socket, ConnectionHandler& owner, bool connecting);
  ~Connection();

  void send(std::initializer_list<std::string_view> pieces);
  void end_sending();             // once all that waits has gone out
  void close_gracefully();        // what waits goes out, then the end; a peer that does not end gets a reset
  void close_discarding_input();  // after the last line: what lies unread would make a reset of it
  void read_now();                // reads at once what has come
  void close();
  void reset();
  void set_reading(bool wanted);
  bool is_open() const { return socket_ != nullptr; }
  std::size_t unsent_bytes() const { return unsent_.size(); }
  // Whether the socket alone is the whole of it: both ends still send, and nothing lies here.
  bool is_transferable() const;
  int descriptor() const;

 private:
  void ready(bool readable, bool writable);
  void receive();
  void drain();
  void stay_until_quiet(Micros latest);
  void flush();
  void shut_down();
  void update();
  void fail();

  EventLoop& event_loop_;
  SocketPtr socket_;
  std::unique_ptr<IoWatch> watch_;
  ConnectionHandler* owner_;
  std::string unsent_;
  Micros drained_at_ = 0;
  bool connecting_, reading_ = true, ending_ = false, shut_ = false, leaving_ = false, peer_ended_ = false;
};

}  // namespace cherryrail::net
