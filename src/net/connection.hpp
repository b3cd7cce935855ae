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

struct Unref {
  void operator()(gpointer object) const { g_object_unref(object); }
};
using SocketPtr = std::unique_ptr<GSocket, Unref>;
using Address = std::shared_ptr<GSocketAddress>;

// Takes over a socket that exists already; `fd` is closed with it. Throws std::runtime_error.
SocketPtr socket_of(int fd);

// "10.0.0.4:7070" or "[::1]:7070"; empty where it is neither.
Address parse_address(const std::string& text);

// A line to somebody who is not taken in.
void tell_and_close(SocketPtr socket, std::string_view line);

// What the owner of a connection is told. The connection may be closed from within any of these.
class ConnectionOwner {
 public:
  virtual void connected() {}
  virtual void received(std::string_view bytes) = 0;
  virtual void ended() = 0;   // the peer sends no more
  virtual void broken() = 0;  // reset, refused or unreachable
  virtual void all_sent() {}  // what had to wait has gone out

 protected:
  ~ConnectionOwner() = default;
};

class Connection : public std::enable_shared_from_this<Connection> {
 public:
  static std::shared_ptr<Connection> accepted(EventLoop& event_loop, SocketPtr socket,
                                              ConnectionOwner& owner);
  // Null if not even the attempt can be made; `no_descriptor` tells whether that is this process's own lack.
  static std::shared_ptr<Connection> open(EventLoop& event_loop, const Address& to, ConnectionOwner& owner,
                                          bool* no_descriptor = nullptr);
  Connection(EventLoop& event_loop, SocketPtr socket, ConnectionOwner& owner, bool connecting);
  ~Connection();

  void send(std::initializer_list<std::string_view> pieces);
  void end_sending();    // once all that waits has gone out
  void close_gently();   // what waits goes out, then the end; a peer that does not end gets a reset
  void close_at_once();  // after the last line: what lies unread would make a reset of it
  void look();           // reads at once what has come
  void close();
  void reset();
  void read_on(bool wanted);
  bool is_open() const { return socket_ != nullptr; }
  std::size_t waiting() const { return unsent_.size(); }
  // Whether the socket alone is the whole of it: both ends still send, and nothing lies here.
  bool flat_settings() const;
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
  std::unique_ptr<Watch> watch_;
  ConnectionOwner* owner_;
  std::string unsent_;
  Micros drained_at_ = 0;
  bool connecting_, reading_ = true, ending_ = false, shut_ = false, leaving_ = false, peer_ended_ = false;
};

}  // namespace cherryrail::net
