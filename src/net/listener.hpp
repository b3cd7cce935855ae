// A listening socket on the loop: gives on what connects, as long as that is wanted.
#pragma once

#include <functional>
#include <memory>

#include "net/connection.hpp"

namespace cherryrail::net {

// Throws std::runtime_error.
SocketPtr create_listening_socket(const Address& address);

class Listener {
 public:
  using Taken = std::function<void(SocketPtr)>;
  Listener(EventLoop& event_loop, SocketPtr socket, Taken taken);
  void set_accepting(bool wanted);
  void close();  // gives on whoever has connected by now, and takes nobody after that

 private:
  bool accept();  // whether there may be more

  EventLoop& event_loop_;
  SocketPtr socket_;
  Taken taken_;
  bool wanted_ = false;
  std::unique_ptr<IoWatch> watch_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cherryrail::net
