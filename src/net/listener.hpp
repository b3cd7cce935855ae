// A listening TCP socket on the event loop.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "net/address.hpp"
#include "net/event_loop.hpp"
#include "net/socket.hpp"

namespace cherryrail::net {

// Bound and listening. Tries for three seconds, then throws std::runtime_error.
SocketPtr create_listening_socket(const Address& address);

// Hands on each connection that comes in, while that is wanted. It wants none at first.
class Listener {
 public:
  using OnAccepted = std::function<void(SocketPtr)>;

  // `socket` is listening already; it may be shared with another process.
  Listener(EventLoop& event_loop, SocketPtr socket, OnAccepted on_accepted);

  // While it does not accept, connections wait in the kernel's queue.
  void set_accepting(bool is_accepting);
  // Hands on what has connected by now, and closes the socket. Where the system cannot give a descriptor now,
  // tries again until `latest`.
  void close_once_drained(Micros latest);

 private:
  enum class AcceptResult : std::uint8_t {
    accepted,
    connection_lost,  // of that connection alone; the next one may be sound
    none_waiting,
    out_of_resources,  // of the process or the system
  };

  void accept_some();
  AcceptResult accept_until_stopped(int most);
  AcceptResult accept_one();
  void pause();

  EventLoop& event_loop_;
  SocketPtr socket_;
  OnAccepted on_accepted_;
  bool is_accepting_ = false;
  std::unique_ptr<IoWatch> watch_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // timers ask it whether this still exists
};

}  // namespace cherryrail::net
