#include "net/listener.hpp"

#include <stdexcept>
#include <string>
#include <utility>

#include "net/glib_handles.hpp"

namespace cherryrail::net {
namespace {

// So long nothing is accepted once that has failed, as it does with no descriptor left.
constexpr Micros kAcceptPause = 20'000;

// A whole fleet's clients may reconnect within one round of the loop.
constexpr int kBacklog = 4096;

// Connections accepted at once, so that a crowd does not keep the sessions that stand waiting.
constexpr int kAcceptBatch = 64;

}  // namespace

SocketPtr create_listening_socket(const Address& address) {
  GlibError error;
  SocketPtr socket = create_tcp_socket(address, error);
  if (socket) g_socket_set_listen_backlog(socket.get(), kBacklog);
  const bool is_listening = socket &&
                            g_socket_bind(socket.get(), address.get(), TRUE, error.out()) != FALSE &&
                            g_socket_listen(socket.get(), error.out()) != FALSE;
  if (!is_listening) throw std::runtime_error(std::string("cannot listen: ") + error.message());
  return socket;
}

Listener::Listener(EventLoop& event_loop, SocketPtr socket, OnAccepted on_accepted)
    : event_loop_(event_loop), socket_(std::move(socket)), on_accepted_(std::move(on_accepted)) {
  g_socket_set_blocking(socket_.get(), FALSE);
  watch_ = std::make_unique<IoWatch>(event_loop_, g_socket_get_fd(socket_.get()),
                                     [this](bool, bool) { accept_some(); });
}

void Listener::set_accepting(bool is_accepting) {
  is_accepting_ = is_accepting;
  if (watch_) watch_->set_interest(is_accepting, false);
}

void Listener::close() {
  bool may_be_more = true;
  while (may_be_more) may_be_more = accept_some();
  watch_.reset();
  socket_.reset();
}

// Whether more may be waiting.
bool Listener::accept_some() {
  for (int i = 0; i < kAcceptBatch && is_accepting_; ++i) {
    if (!accept_one()) return false;
  }
  return is_accepting_;
}

bool Listener::accept_one() {
  GlibError error;
  SocketPtr socket(g_socket_accept(socket_.get(), nullptr, error.out()));
  if (socket) {
    on_accepted_(std::move(socket));
    return true;
  }
  if (!error.is_would_block()) {
    event_loop_.log().write(Topic::error, "cannot accept a connection: {}", error.message());
    pause();
  }
  return false;
}

// With no descriptor left the socket stays ready, and the loop would spin on it.
void Listener::pause() {
  watch_->set_interest(false, false);
  event_loop_.call_at(event_loop_.now() + kAcceptPause, [this, alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired()) set_accepting(is_accepting_);
  });
}

}  // namespace cherryrail::net
