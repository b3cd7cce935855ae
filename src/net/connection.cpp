#include "net/connection.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include "net/glib_handles.hpp"

namespace cherryrail::net {
namespace {

// After close_gracefully, the time that the peer has to read the last lines: kLingerIdleTimeout while it
// sends nothing, kMaxLingerDuration in total if it keeps sending.
constexpr Micros kLingerIdleTimeout = 1'000'000;
constexpr Micros kMaxLingerDuration = 4'000'000;

// Room for several messages, and small enough for the stack.
constexpr std::size_t kReadBufferSize = 16384;

// How many pieces one send writes without copying; no caller passes more.
constexpr std::size_t kMaxVectors = 8;

}  // namespace

std::shared_ptr<Connection> Connection::adopt(EventLoop& event_loop, SocketPtr socket,
                                              ConnectionHandler& handler) {
  return std::make_shared<Connection>(event_loop, std::move(socket), handler, false);
}

ConnectAttempt Connection::connect(EventLoop& event_loop, const Address& to, ConnectionHandler& handler) {
  if (!to) return {};
  GlibError error;
  SocketPtr socket = create_tcp_socket(to, error);
  if (!socket) return {nullptr, true};
  switch (start_connecting(socket.get(), to)) {
    case ConnectStart::in_progress:
      return {std::make_shared<Connection>(event_loop, std::move(socket), handler, true), false};
    case ConnectStart::local_failure:
      return {nullptr, true};
    case ConnectStart::refused:
      break;
  }
  return {};
}

Connection::Connection(EventLoop& event_loop, SocketPtr socket, ConnectionHandler& handler,
                       bool is_connecting)
    : event_loop_(event_loop), socket_(std::move(socket)), handler_(&handler), is_connecting_(is_connecting) {
  g_socket_set_blocking(socket_.get(), FALSE);
  g_socket_set_option(socket_.get(), IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
  watch_ = std::make_unique<IoWatch>(event_loop_, descriptor(), [this](bool is_readable, bool is_writable) {
    on_ready(is_readable, is_writable);
  });
  update_interest();
}

Connection::~Connection() { close(); }

void Connection::update_interest() {
  if (!watch_) return;
  const bool wants_input = !is_connecting_ && is_reading_ && !has_peer_ended_sending_;
  const bool wants_output = is_connecting_ || !unsent_.empty();
  watch_->set_interest(wants_input, wants_output, wants_hang_up_);
}

void Connection::report_resets_at_once() {
  wants_hang_up_ = true;
  update_interest();
}

void Connection::set_reading(bool is_wanted) {
  is_reading_ = is_wanted;
  update_interest();
}

void Connection::on_ready(bool is_readable, bool is_writable) {
  const auto keep_alive = shared_from_this();
  if (!is_readable && !is_writable) {
    check_hang_up();
    return;
  }
  if (is_writable && is_connecting_) {
    finish_connecting();
    return;
  }
  if (is_writable) flush();
  if (is_readable && is_open()) receive();
}

// A hang-up without an error means that both sides have ended their sending. It would be reported for ever.
void Connection::check_hang_up() {
  if (g_socket_check_connect_result(socket_.get(), nullptr) == FALSE) {
    fail();
    return;
  }
  wants_hang_up_ = false;
  update_interest();
}

void Connection::finish_connecting() {
  if (g_socket_check_connect_result(socket_.get(), nullptr) == FALSE) {
    fail();
    return;
  }
  is_connecting_ = false;
  update_interest();
  if (handler_) handler_->on_connected();
}

bool Connection::is_transferable() const {
  const bool is_established = is_open() && !is_connecting_ && !is_lingering_;
  const bool is_open_both_ways = send_state_ == SendState::open && !has_peer_ended_sending_;
  return is_established && is_open_both_ways && unsent_.empty();
}

int Connection::descriptor() const { return g_socket_get_fd(socket_.get()); }

void Connection::read_now() {
  const auto keep_alive = shared_from_this();
  if (is_open() && !is_connecting_ && is_reading_ && !has_peer_ended_sending_) receive();
}

void Connection::receive() {
  if (is_lingering_) {
    discard_received();
    return;
  }
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-member-init): filled by the read
  std::array<char, kReadBufferSize> bytes;
  GlibError error;
  const gssize count = g_socket_receive(socket_.get(), bytes.data(), bytes.size(), nullptr, error.out());
  if (count > 0) {
    if (handler_) handler_->on_received({bytes.data(), static_cast<std::size_t>(count)});
    return;
  }
  if (count < 0) {
    if (!error.is_retryable()) fail();
    return;
  }
  has_peer_ended_sending_ = true;
  update_interest();
  if (handler_) handler_->on_end_of_stream();
}

// The peer may still send megabytes after its last response; copying them would take time from other
// sessions.
void Connection::discard_received() {
  const ssize_t count = discard_input(socket_.get());
  if (count > 0) {
    last_discard_at_ = event_loop_.now();
    return;
  }
  const bool is_retryable = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
  if (!is_retryable) close();
}

void Connection::send(std::initializer_list<std::string_view> pieces) {
  if (!is_open() || send_state_ != SendState::open) return;
  std::size_t sent = 0;
  if (unsent_.empty() && !is_connecting_) {
    const std::optional<std::size_t> written = write_gathered(pieces);
    if (!written) {
      post_failure();
      return;
    }
    sent = *written;
  }
  buffer_unsent(pieces, sent);
  update_interest();
}

// Writes the pieces without copying them. Returns how many bytes the kernel accepted, or nothing on failure.
std::optional<std::size_t> Connection::write_gathered(std::initializer_list<std::string_view> pieces) {
  std::array<GOutputVector, kMaxVectors> vectors{};
  std::size_t count = 0;
  for (const std::string_view piece : pieces) {
    if (count == vectors.size()) break;
    vectors[count] = {piece.data(), piece.size()};
    ++count;
  }
  GlibError error;
  const gssize sent = g_socket_send_message(socket_.get(), nullptr, vectors.data(), static_cast<gint>(count),
                                            nullptr, 0, G_SOCKET_MSG_NONE, nullptr, error.out());
  if (sent < 0 && !error.is_retryable()) return std::nullopt;
  return sent > 0 ? static_cast<std::size_t>(sent) : 0;
}

void Connection::buffer_unsent(std::initializer_list<std::string_view> pieces, std::size_t sent) {
  for (const std::string_view piece : pieces) {
    const std::size_t skipped = std::min(sent, piece.size());
    sent -= skipped;
    unsent_.append(piece.substr(skipped));
  }
}

void Connection::flush() {
  GlibError error;
  const gssize sent = g_socket_send(socket_.get(), unsent_.data(), unsent_.size(), nullptr, error.out());
  if (sent < 0) {
    if (!error.is_retryable()) fail();
    return;
  }
  unsent_.erase(0, static_cast<std::size_t>(sent));
  if (!unsent_.empty()) return;
  release_buffer();
  if (send_state_ != SendState::open) shut_down_sending();
  if (is_lingering_ && has_peer_ended_sending_) {
    close();
    return;
  }
  update_interest();
  if (handler_) handler_->on_all_sent();
}

// Frees the memory, which clear() would keep: an idle connection holds no buffer.
void Connection::release_buffer() { std::string().swap(unsent_); }

void Connection::end_sending() {
  if (!is_open() || send_state_ != SendState::open) return;
  send_state_ = SendState::ending;
  if (unsent_.empty() && !is_connecting_) shut_down_sending();
}

void Connection::shut_down_sending() {
  if (send_state_ == SendState::ended) return;
  send_state_ = SendState::ended;
  g_socket_shutdown(socket_.get(), FALSE, TRUE, nullptr);
}

// Closing a socket with unread input sends a reset, which can make the peer lose the last line. So this side
// ends its sending first, then reads and discards input until the peer ends its sending too.
void Connection::close_gracefully() {
  if (!is_open()) return;
  handler_ = nullptr;
  if (has_peer_ended_sending_ && unsent_.empty()) {
    close();
    return;
  }
  end_sending();
  is_lingering_ = true;
  set_reading(true);
  last_discard_at_ = event_loop_.now();
  linger_until_idle(event_loop_.now() + kMaxLingerDuration);
}

void Connection::linger_until_idle(Micros deadline) {
  // A peer that reads slowly has not seen the last line yet.
  const Micros idle_since = unsent_.empty() ? last_discard_at_ : event_loop_.now();
  const Micros next_check = std::min(idle_since + kLingerIdleTimeout, deadline);
  linger_timer_ = Timer(event_loop_, next_check, [self = shared_from_this(), deadline] {
    const Micros now = self->event_loop_.now();
    const bool is_idle = self->unsent_.empty() && now - self->last_discard_at_ >= kLingerIdleTimeout;
    if (now >= deadline || is_idle) {
      self->close();
      return;
    }
    self->linger_until_idle(deadline);
  });
}

void Connection::close_discarding_input() {
  if (!is_open()) return;
  handler_ = nullptr;
  unsent_.erase(0, send_until_blocked(socket_.get(), unsent_));
  if (!unsent_.empty()) {
    close_gracefully();
    return;
  }
  discard_received();
  close();
}

void Connection::close() {
  const Timer linger_timer = std::move(linger_timer_);  // may own this object: destroyed last
  handler_ = nullptr;
  watch_.reset();
  if (socket_) g_socket_close(socket_.get(), nullptr);
  socket_.reset();
  release_buffer();
}

void Connection::reset() {
  if (!is_open()) return;
  const linger discard_and_reset{1, 0};  // with a linger time of 0, close sends a reset
  setsockopt(descriptor(), SOL_SOCKET, SO_LINGER, &discard_and_reset, sizeof(discard_and_reset));
  close();
}

void Connection::fail() {
  ConnectionHandler* handler = handler_;
  close();
  if (handler) handler->on_connection_lost();
}

// Reports the failure from the event loop: the caller of send must not get a callback during the call.
void Connection::post_failure() {
  event_loop_.post([weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->fail();
  });
}

}  // namespace cherryrail::net
