#include "net/connection.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <stdexcept>
#include <utility>

namespace cherryrail::net {
namespace {

constexpr Micros kLinger = 1'000'000;      // how long a peer that says no more has to take the last lines
constexpr Micros kLingerMost = 4'000'000;  // and one that goes on sending

struct Error {
  GError* error = nullptr;
  Error() = default;
  Error(const Error&) = delete;
  Error& operator=(const Error&) = delete;
  ~Error() { g_clear_error(&error); }
  GError** out() { return &error; }
  bool later() const {
    return g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) ||
           g_error_matches(error, G_IO_ERROR, G_IO_ERROR_PENDING);
  }
};

ssize_t drop_unread(GSocket* socket) {
  std::array<char, 65536> nothing;  // NOLINT: not filled
  return recv(g_socket_get_fd(socket), nothing.data(), nothing.size(), MSG_TRUNC | MSG_DONTWAIT);
}

}  // namespace

Address parse_address(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) return nullptr;
  std::string host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') host = host.substr(1, host.size() - 2);
  guint64 port = 0;
  if (!g_ascii_string_to_unsigned(text.c_str() + colon + 1, 10, 1, 65535, &port, nullptr)) return nullptr;
  GSocketAddress* address = g_inet_socket_address_new_from_string(host.c_str(), static_cast<guint>(port));
  return address ? Address(address, GObjectUnref{}) : nullptr;
}

SocketPtr adopt_socket(int fd) {
  Error error;
  SocketPtr socket(g_socket_new_from_fd(fd, error.out()));
  if (socket) return socket;
  ::close(fd);
  throw std::runtime_error(std::string("cannot take a socket over: ") + error.error->message);
}

std::shared_ptr<Connection> Connection::adopt(EventLoop& event_loop, SocketPtr socket,
                                              ConnectionHandler& owner) {
  return std::make_shared<Connection>(event_loop, std::move(socket), owner, false);
}

ConnectAttempt Connection::connect(EventLoop& event_loop, const Address& to, ConnectionHandler& owner) {
  if (!to) return {};
  Error error;
  SocketPtr socket(g_socket_new(g_socket_address_get_family(to.get()), G_SOCKET_TYPE_STREAM,
                                G_SOCKET_PROTOCOL_TCP, error.out()));
  if (!socket) return {nullptr, true};
  g_socket_set_blocking(socket.get(), FALSE);
  const bool up = g_socket_connect(socket.get(), to.get(), nullptr, error.out());
  if (!up && !error.later()) return {};
  return {std::make_shared<Connection>(event_loop, std::move(socket), owner, true), false};
}

Connection::Connection(EventLoop& event_loop, SocketPtr socket, ConnectionHandler& owner, bool connecting)
    : event_loop_(event_loop), socket_(std::move(socket)), owner_(&owner), connecting_(connecting) {
  g_socket_set_blocking(socket_.get(), FALSE);
  g_socket_set_option(socket_.get(), IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
  watch_ = std::make_unique<IoWatch>(event_loop_, g_socket_get_fd(socket_.get()),
                                     [this](bool readable, bool writable) { ready(readable, writable); });
  update();
}

Connection::~Connection() { close(); }

void Connection::update() {
  if (watch_) watch_->set_interest(!connecting_ && reading_ && !peer_ended_, connecting_ || !unsent_.empty());
}

void Connection::set_reading(bool wanted) {
  reading_ = wanted;
  update();
}

void Connection::ready(bool readable, bool writable) {
  const auto keep = shared_from_this();
  if (writable && connecting_) {
    if (!g_socket_check_connect_result(socket_.get(), nullptr)) return fail();
    connecting_ = false;
    update();
    if (owner_) owner_->on_connected();
    return;
  }
  if (writable) flush();
  if (readable && is_open()) receive();
}

bool Connection::is_transferable() const {
  return socket_ && !connecting_ && unsent_.empty() && !ending_ && !peer_ended_ && !leaving_;
}

int Connection::descriptor() const { return socket_ ? g_socket_get_fd(socket_.get()) : -1; }

void Connection::read_now() {
  const auto keep = shared_from_this();
  if (is_open() && !connecting_ && reading_ && !peer_ended_) receive();
}

void Connection::receive() {
  if (leaving_) return drain();
  std::array<char, 16384> bytes;  // NOLINT: filled by the read
  Error error;
  const gssize got = g_socket_receive(socket_.get(), bytes.data(), bytes.size(), nullptr, error.out());
  if (got < 0) return error.later() ? void() : fail();
  if (got > 0) {
    if (owner_) owner_->on_received({bytes.data(), static_cast<std::size_t>(got)});
    return;
  }
  peer_ended_ = true;
  update();
  if (owner_) owner_->on_end_of_stream();
}

// Danger: megabytes may still come from a peer that has its answer, and to copy them would cost the time that
// tunnels need. MSG_TRUNC has the kernel drop what was sent without copying it.
void Connection::drain() {
  const ssize_t got = drop_unread(socket_.get());
  if (got > 0)
    drained_at_ = event_loop_.now();
  else if (got == 0 || (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR))
    close();
}

// Gathered: the pieces stand where they stand until the kernel takes them; only what it leaves is copied.
void Connection::send(std::initializer_list<std::string_view> pieces) {
  if (!is_open() || ending_) return;
  std::size_t taken = 0;
  if (unsent_.empty() && !connecting_) {
    std::array<GOutputVector, 8> vectors{};
    std::size_t count = 0;
    for (const std::string_view piece : pieces) {
      if (count < vectors.size()) vectors[count++] = {piece.data(), piece.size()};
    }
    Error error;
    const gssize sent =
        g_socket_send_message(socket_.get(), nullptr, vectors.data(), static_cast<gint>(count), nullptr, 0,
                              G_SOCKET_MSG_NONE, nullptr, error.out());
    if (sent < 0 && !error.later()) {
      // Told soon, not now: the caller is in the middle of its own step.
      event_loop_.post([weak = weak_from_this()] {
        if (const auto self = weak.lock()) self->fail();
      });
      return;
    }
    if (sent > 0) taken = static_cast<std::size_t>(sent);
  }
  for (const std::string_view piece : pieces) {
    const std::size_t skip = std::min(taken, piece.size());
    taken -= skip;
    unsent_.append(piece.substr(skip));
  }
  update();
}

void Connection::flush() {
  Error error;
  const gssize sent = g_socket_send(socket_.get(), unsent_.data(), unsent_.size(), nullptr, error.out());
  if (sent < 0) return error.later() ? void() : fail();
  unsent_.erase(0, static_cast<std::size_t>(sent));
  if (!unsent_.empty()) return;
  std::string().swap(unsent_);  // an idle connection keeps no buffer
  if (ending_) shut_down();
  if (leaving_ && peer_ended_) return close();
  update();
  if (owner_) owner_->on_all_sent();
}

void Connection::end_sending() {
  if (!is_open() || std::exchange(ending_, true)) return;
  if (unsent_.empty() && !connecting_) shut_down();
}

void Connection::shut_down() {
  if (!std::exchange(shut_, true)) g_socket_shutdown(socket_.get(), FALSE, TRUE, nullptr);
}

// Danger: closing a socket on which unread bytes lie sends a reset, and that may overtake the last line. So
// the sending ends first, and what the peer still says is read and dropped until it ends too.
void Connection::close_gracefully() {
  if (!is_open()) return;
  owner_ = nullptr;
  if (peer_ended_ && unsent_.empty()) return close();
  end_sending();
  leaving_ = true;
  set_reading(true);
  drained_at_ = event_loop_.now();
  stay_until_quiet(event_loop_.now() + kLingerMost);
}

void Connection::close_discarding_input() {
  if (!is_open()) return;
  owner_ = nullptr;
  drain();
  close();
}

void send_and_close(SocketPtr socket, std::string_view line) {
  g_socket_set_blocking(socket.get(), FALSE);
  g_socket_send(socket.get(), line.data(), line.size(), nullptr, nullptr);
  drop_unread(socket.get());
}

void Connection::stay_until_quiet(Micros latest) {
  event_loop_.call_at(std::min(drained_at_ + kLinger, latest), [self = shared_from_this(), latest] {
    const Micros now = self->event_loop_.now();
    if (!self->is_open()) return;
    if (now >= latest || now - self->drained_at_ >= kLinger) return self->close();
    self->stay_until_quiet(latest);
  });
}

void Connection::close() {
  owner_ = nullptr;
  watch_.reset();
  if (socket_) g_socket_close(socket_.get(), nullptr);
  socket_.reset();
  std::string().swap(unsent_);
}

void Connection::reset() {
  if (!is_open()) return;
  const linger at_once{1, 0};
  setsockopt(g_socket_get_fd(socket_.get()), SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
  close();
}

void Connection::fail() {
  ConnectionHandler* owner = owner_;
  close();
  if (owner) owner->on_connection_lost();
}

}  // namespace cherryrail::net
