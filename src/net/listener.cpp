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

// How long accepting pauses after a failure, for example when no descriptor is left.
constexpr Micros kAcceptRetryDelay = 20'000;
// The same while close_once_drained empties the accept queue.
constexpr Micros kDrainRetryDelay = 5'000;

// Large, because the clients of a whole fleet may reconnect within one iteration of the event loop.
constexpr int kBacklog = 4096;

// Limits the connections accepted per iteration, so that a burst does not delay established sessions.
constexpr int kMaxAcceptsPerIteration = 64;

// Returns null on failure and sets `problem`.
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
                                     [this](bool, bool) { accept_batch(); });
}

void Listener::set_accepting(bool is_accepting) {
  is_accepting_ = is_accepting;
  if (watch_) watch_->set_interest(is_accepting, false);
}

// A client that has connected counts as accepted, so a temporary failure to accept is retried.
void Listener::close_once_drained(Micros deadline) {
  if (!socket_) return;
  const AcceptResult result = accept_up_to(kBacklog);
  if (result != AcceptResult::out_of_resources || event_loop_.now() >= deadline) {
    watch_.reset();
    socket_.reset();
    return;
  }
  watch_->set_interest(false, false);
  retry_timer_ = Timer(event_loop_, event_loop_.now() + kDrainRetryDelay,
                       [this, deadline] { close_once_drained(deadline); });
}

void Listener::accept_batch() {
  if (!is_accepting_) return;
  if (accept_up_to(kMaxAcceptsPerIteration) == AcceptResult::out_of_resources) pause_accepting();
}

// Accepts up to `max_count` connections. Stops early, returning the reason, if none is waiting or resources
// are exhausted; otherwise returns the last result.
Listener::AcceptResult Listener::accept_up_to(int max_count) {
  AcceptResult result = AcceptResult::none_waiting;
  for (int i = 0; i < max_count && socket_; ++i) {
    result = accept_one();
    if (result == AcceptResult::none_waiting || result == AcceptResult::out_of_resources) break;
  }
  return result;
}

// Calls accept4 directly: GIO's errors do not distinguish a connection that was reset in the queue from a
// lack of descriptors.
Listener::AcceptResult Listener::accept_one() {
  const int fd = accept4(g_socket_get_fd(socket_.get()), nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
  if (fd >= 0) {
    on_accepted_(adopt_socket(fd));
    return AcceptResult::accepted;
  }
  const int error = errno;
  if (error == EAGAIN || error == EWOULDBLOCK) return AcceptResult::none_waiting;
  event_loop_.log().write(Topic::error, "cannot accept a connection: {}", g_strerror(error));
  const bool is_resource_shortage = error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM;
  return is_resource_shortage ? AcceptResult::out_of_resources : AcceptResult::connection_lost;
}

// Without a free descriptor the socket stays ready, and the event loop would spin.
void Listener::pause_accepting() {
  watch_->set_interest(false, false);
  retry_timer_ =
      Timer(event_loop_, event_loop_.now() + kAcceptRetryDelay, [this] { set_accepting(is_accepting_); });
}

}  // namespace cherryrail::net
