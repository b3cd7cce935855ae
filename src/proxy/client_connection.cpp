#include "proxy/client_connection.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace cherryrail::proxy {
namespace {

// Pings answered per read. The front-end proxy that sends them waits for each answer, so more than a few at
// once come from another kind of client.
constexpr int kMaxPingsPerRead = 4;

// Whether a partly received first line can still become a valid request.
bool may_become_request(std::string_view partial_line) {
  const auto is_compatible_with = [partial_line](std::string_view prefix) {
    const std::size_t length = std::min(partial_line.size(), prefix.size());
    return partial_line.substr(0, length) == prefix.substr(0, length);
  };
  return is_compatible_with("OPEN ") || is_compatible_with("PING\r");
}

}  // namespace

void ClientConnection::open_connection(net::SocketPtr socket) {
  connected_at_ = event_loop_.now();
  pending_since_ = connected_at_;
  last_write_at_ = connected_at_;
  connection_ = net::Connection::adopt(event_loop_, std::move(socket), *this);
  // Otherwise lines of a client that is gone would be sent on once its slow backend reads again.
  connection_->report_resets_at_once();
}

void ClientConnection::start(net::SocketPtr socket, Micros waited) {
  open_connection(std::move(socket));
  pending_since_ -= waited;
}

void ClientConnection::resume(net::SocketPtr socket, const std::shared_ptr<ProxySession>& session) {
  session_ = session;
  session_->set_downstream(this);
  is_established_ = true;
  open_connection(std::move(socket));
}

// ---- Open request ---------------------------------------------------------------------------------------

void ClientConnection::on_received(std::string_view bytes) {
  if (!session_) {
    read_request(bytes);
  } else if (is_established_) {
    session_->on_downstream_data(bytes);
  } else {
    session_->on_early_data();
  }
}

void ClientConnection::read_request(std::string_view bytes) {
  int pings = 0;
  const std::string_view unread = lines_.feed(bytes, [this, &pings](std::string_view line) {
    const bool is_ping = line == "PING";
    if (is_ping) ++pings;
    if (is_ping && pings <= kMaxPingsPerRead) return answer_ping();
    session_ = owner_.create_session(line);
    session_->set_downstream(this);
    return false;
  });
  if (session_) {
    request_session(unread);
  } else {
    check_partial_request();
  }
}

// A peer that reads no answers would otherwise fill the send buffer without limit.
bool ClientConnection::answer_ping() {
  if (connection_->unsent_bytes() > 0) {
    finish("ERR", DownstreamResult::bad_request);
    return false;
  }
  pending_since_ = event_loop_.now();
  connection_->send({"PONG\r\n"});
  return connection_->is_open();
}

void ClientConnection::request_session(std::string_view unread) {
  owner_.on_request_received(number_);
  // A client that sends data before its answer is rejected: the relay would have to buffer that data.
  if (!unread.empty()) {
    finish("ERR", DownstreamResult::early_data);
    return;
  }
  read_now();  // the end of the stream may directly follow the request
  if (!is_closed_) owner_.on_session_requested(session_);
}

// A connection without a session may not come from a real client, so it is closed at the first byte that
// cannot belong to a request instead of at the request timeout.
void ClientConnection::check_partial_request() {
  if (has_partial_request()) last_write_at_ = event_loop_.now();
  if (lines_.is_overlong()) {
    finish("ERR", DownstreamResult::line_too_long);
  } else if (!may_become_request(lines_.partial_line())) {
    finish("ERR", DownstreamResult::bad_request);
  }
}

// A client that has sent nothing yet gets BUSY, because its request may be in flight: it will not be read,
// and BUSY answers it.
void ClientConnection::time_out() {
  finish(has_partial_request() ? "ERR" : "BUSY", DownstreamResult::request_timeout);
}

void ClientConnection::reject(DownstreamResult result) {
  connection_->send({"BUSY\r\n"});
  connection_->close_discarding_input();
  close(result);
}

void ClientConnection::shut_down() {
  read_now();  // the socket may hold an unread open request
  if (is_closed_) return;
  if (session_) {
    session_->shut_down();
  } else {
    reject(DownstreamResult::shutting_down);
  }
}

// ---- Session data ---------------------------------------------------------------------------------------

void ClientConnection::on_all_sent() {
  if (session_) session_->set_upstream_reading(true);
}

void ClientConnection::send(std::string_view bytes, std::string_view suffix) {
  connection_->send({bytes, suffix});
  if (connection_->unsent_bytes() > 0) session_->set_upstream_reading(false);
  is_established_ = true;
}

// ---- Closing --------------------------------------------------------------------------------------------

void ClientConnection::on_peer_closed(CloseKind kind) {
  if (is_closed_) return;
  if (session_) session_->on_downstream_closed(kind);
  const bool must_close = kind == CloseKind::broken || !session_;
  if (!is_closed_ && must_close) finish("", DownstreamResult::client_closed);
}

void ClientConnection::finish(std::string_view last_line, DownstreamResult result) {
  if (is_closed_) return;
  if (!last_line.empty()) connection_->send({last_line, "\r\n"});
  connection_->close_gracefully();
  owner_.on_closing(connection_);
  close(result);
}

void ClientConnection::reset(DownstreamResult result) {
  connection_->reset();
  close(result);
}

void ClientConnection::close(DownstreamResult result) {
  if (std::exchange(is_closed_, true)) return;
  const std::string_view id = session_ ? session_->id() : std::string_view("-");
  event_loop_.log().write(net::Topic::connection, "downstream={} session={} result={} duration_ms={}",
                          number_, id, to_string(result), (event_loop_.now() - connected_at_) / kMillisecond);
  if (session_) session_->set_downstream(nullptr);
  owner_.on_closed(number_, result);
}

// ---- Hot restart ----------------------------------------------------------------------------------------

std::optional<int> ClientConnection::transferable_descriptor() const {
  if (is_closed_ || !connection_->is_transferable()) return {};
  return connection_->descriptor();
}

std::optional<OutgoingHandover> ClientConnection::prepare_handover() {
  if (has_session()) return session_->prepare_handover();
  const std::optional<int> descriptor = transferable_descriptor();
  if (!descriptor) return {};
  OutgoingHandover handover;
  handover.message = PendingClient{std::string(lines_.partial_line()), event_loop_.now() - pending_since_};
  handover.downstream = *descriptor;
  return handover;
}

void ClientConnection::finish_handover() {
  if (session_) {
    session_->release_to_successor();
  } else {
    release_to_successor();
  }
}

void ClientConnection::release_to_successor() {
  connection_->close();
  close(DownstreamResult::handed_over);
}

}  // namespace cherryrail::proxy
