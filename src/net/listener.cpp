#include "net/listener.hpp"

#include <stdexcept>
#include <string>
#include <utility>

namespace cherryrail::net {
namespace {

constexpr Micros kAcceptPause = 20'000;  // with no descriptor left
constexpr int kBacklog = 4096, kAtOnce = 64;

}  // namespace

SocketPtr create_listening_socket(const Address& address) {
  GError* error = nullptr;
  SocketPtr socket(g_socket_new(g_socket_address_get_family(address.get()), G_SOCKET_TYPE_STREAM,
                                G_SOCKET_PROTOCOL_TCP, &error));
  if (socket) g_socket_set_listen_backlog(socket.get(), kBacklog);
  if (!socket || !g_socket_bind(socket.get(), address.get(), TRUE, &error) ||
      !g_socket_listen(socket.get(), &error)) {
    const std::string why = error ? error->message : "unknown";
    g_clear_error(&error);
    throw std::runtime_error("cannot listen: " + why);
  }
  return socket;
}

Listener::Listener(EventLoop& event_loop, SocketPtr socket, Taken taken)
    : event_loop_(event_loop), socket_(std::move(socket)), taken_(std::move(taken)) {
  g_socket_set_blocking(socket_.get(), FALSE);
  watch_ = std::make_unique<IoWatch>(event_loop_, g_socket_get_fd(socket_.get()),
                                     [this](bool, bool) { accept(); });
}

void Listener::set_accepting(bool wanted) {
  wanted_ = wanted;
  if (watch_) watch_->set_interest(wanted, false);
}

void Listener::close() {
  while (accept()) {
  }
  watch_.reset();
  socket_.reset();
}

bool Listener::accept() {
  for (int i = 0; i < kAtOnce && wanted_; ++i) {
    GError* error = nullptr;
    SocketPtr socket(g_socket_accept(socket_.get(), nullptr, &error));
    if (!socket) {
      const bool no_more = g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);
      if (!no_more) {
        // Danger: with no descriptor left the listener stays ready, and the loop would spin on it.
        event_loop_.log().write(Topic::error, "cannot accept a connection: {}", error->message);
        watch_->set_interest(false, false);
        event_loop_.call_at(event_loop_.now() + kAcceptPause, [this, alive = std::weak_ptr<bool>(alive_)] {
          if (!alive.expired()) set_accepting(wanted_);
        });
      }
      g_clear_error(&error);
      return false;
    }
    taken_(std::move(socket));
  }
  return wanted_;
}

}  // namespace cherryrail::net
