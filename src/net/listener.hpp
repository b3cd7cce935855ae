// A listening TCP socket on the event loop.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "net/address.hpp"
#include "net/event_loop.hpp"
#include "net/socket.hpp"
#include "net/timer.hpp"

namespace cherryrail::net {

// Creates a socket bound to `address` and listening. Retries for three seconds, then throws
// std::runtime_error.
SocketPtr create_listening_socket(const Address& address);

// Passes each incoming connection to a callback while accepting is enabled; it is disabled initially.
class Listener {
 public:
  using OnAccepted = std::function<void(SocketPtr)>;

  // `socket` is already listening; it may be shared with another process.
  Listener(EventLoop& event_loop, SocketPtr socket, OnAccepted on_accepted);

  // While accepting is disabled, connections wait in the kernel's queue.
  void set_accepting(bool is_accepting);
  // Accepts the connections that are waiting, then closes the socket. If the system lacks descriptors,
  // retries until `deadline`.
  void close_once_drained(Micros deadline);

 private:
  enum class AcceptResult : std::uint8_t {
    accepted,
    connection_lost,  // only this connection failed; the next one may succeed
    none_waiting,
    out_of_resources,  // the process or the system lacks descriptors or memory
  };

  void accept_batch();
  AcceptResult accept_up_to(int max_count);
  AcceptResult accept_one();
  void pause_accepting();

  EventLoop& event_loop_;
  SocketPtr socket_;
  OnAccepted on_accepted_;
  bool is_accepting_ = false;
  std::unique_ptr<IoWatch> watch_;
  Timer retry_timer_;  // after a failure to accept
};

}  // namespace cherryrail::net
