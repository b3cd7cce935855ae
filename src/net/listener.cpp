#include "net/listener.hpp"

#include <sys/socket.h>

#include <cerrno>
#include <stdexcept>
#include <string>
#include <utility>

#include "net/glib_handles.hpp"
#include "net/startup_retry.hpp"

namespace cherryrail::net {
namespace {

// So long nothing is accepted once that has failed, as it does with no descriptor left.
constexpr Micros kAcceptPause = 20'000;
// The same while the socket is about to be closed.
constexpr Micros kDrainPause = 5'000;

// A whole fleet's clients may reconnect within one round of the loop.
constexpr int kBacklog = 4096;

// Connections accepted at once, so that a crowd does not keep the sessions that stand waiting.
constexpr int kAcceptBatch = 64;

// Null on failure, with the problem named.
SocketPtr try_to_listen(const Address& address, std::string& problem) {
  GlibError error;
  SocketPtr socket = create_tcp_socket(address, error);
  if (socket) g_socket_set_listen_backlog(socket.get(), kBacklog);
  const bool is_listening = socket &&
                            g_socket_bind(socket.get(), address.get(), TRUE, error.out()) != FALSE &&
                            g_socket_listen(socket.get(), error.out()) != FALSE;
  if (is_listening) return socket;
  problem = error.message();
  return nullptr;
}

}  // namespace

SocketPtr create_listening_socket(const Address& address) {
  std::string problem;
  SocketPtr socket = retry_at_startup([&address, &problem] { return try_to_listen(address, problem); });
  if (!socket) throw std::runtime_error("cannot listen: " + problem);
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

// Whoever has connected counts as accepted, also if accepting fails just now.
void Listener::close_once_drained(Micros latest) {
  if (!socket_) return;
  const AcceptResult result = accept_until_stopped(kBacklog);
  if (result != AcceptResult::out_of_resources || event_loop_.now() >= latest) {
    watch_.reset();
    socket_.reset();
    return;
  }
  watch_->set_interest(false, false);
  event_loop_.call_at(event_loop_.now() + kDrainPause, [this, latest, alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired()) close_once_drained(latest);
  });
}

void Listener::accept_some() {
  if (!is_accepting_) return;
  if (accept_until_stopped(kAcceptBatch) == AcceptResult::out_of_resources) pause();
}

// The first result after which accepting at once makes no sense, or that of the last of so many.
Listener::AcceptResult Listener::accept_until_stopped(int most) {
  AcceptResult result = AcceptResult::none_waiting;
  for (int i = 0; i < most && socket_; ++i) {
    result = accept_one();
    if (result == AcceptResult::none_waiting || result == AcceptResult::out_of_resources) break;
  }
  return result;
}

// GIO's own call does not tell a connection that was reset in the queue from a want of descriptors.
Listener::AcceptResult Listener::accept_one() {
  const int fd = accept4(g_socket_get_fd(socket_.get()), nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
  if (fd >= 0) {
    on_accepted_(adopt_socket(fd));
    return AcceptResult::accepted;
  }
  const int error = errno;
  if (error == EAGAIN || error == EWOULDBLOCK) return AcceptResult::none_waiting;
  event_loop_.log().write(Topic::error, "cannot accept a connection: {}", g_strerror(error));
  const bool is_resource = error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM;
  return is_resource ? AcceptResult::out_of_resources : AcceptResult::connection_lost;
}

// With no descriptor left the socket stays ready, and the loop would spin on it.
void Listener::pause() {
  watch_->set_interest(false, false);
  event_loop_.call_at(event_loop_.now() + kAcceptPause, [this, alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired()) set_accepting(is_accepting_);
  });
}

}  // namespace cherryrail::net
