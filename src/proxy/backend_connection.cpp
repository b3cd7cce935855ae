#include "proxy/backend_connection.hpp"

#include <algorithm>
#include <utility>

#include "protocol/text_fields.hpp"

namespace cherryrail::proxy {
namespace {

// How long a backend may take to close the connection after the client has closed its sending side.
constexpr Micros kCloseTimeout = 2'000'000;
// An unexpected reply is cut to this length in the log.
constexpr std::size_t kMaxLoggedReplyBytes = 80;

}  // namespace

// ---- Attempt --------------------------------------------------------------------------------------------

void BackendConnection::start(const net::Address& address, Micros connect_timeout, Micros attempt_timeout) {
  deadline_ = started_at_ + attempt_timeout;
  session_->set_upstream(this);
  if (attempt_timeout <= 0) {
    post_failure(AttemptResult::timed_out);
    return;
  }
  const net::ConnectAttempt attempt = net::Connection::connect(event_loop_, address, *this);
  // Recorded so that a relay that is out of descriptors or ports does not treat healthy backends as failed.
  has_local_failure_ = attempt.is_local_failure;
  connection_ = attempt.connection;
  if (!connection_) {
    post_failure(has_local_failure_ ? AttemptResult::not_sent : AttemptResult::connect_failed);
    return;
  }
  schedule_timeouts(std::min(deadline_, started_at_ + connect_timeout));
}

void BackendConnection::schedule_timeouts(Micros connect_deadline) {
  connect_timer_ = net::Timer(event_loop_, connect_deadline, [this] {
    if (state_ == State::connecting) finish_attempt(CloseKind::broken, AttemptResult::connect_failed);
  });
  deadline_timer_ = net::Timer(event_loop_, deadline_, [this] {
    finish_attempt(CloseKind::broken, result_without_reply(AttemptResult::timed_out));
  });
}

// Posted, because the balancer call that started the attempt is still in progress.
void BackendConnection::post_failure(AttemptResult result) {
  event_loop_.post([weak = weak_from_this(), result] {
    if (const auto self = weak.lock()) self->finish_attempt(CloseKind::broken, result);
  });
}

void BackendConnection::on_connected() {
  if (!session_->may_send_request()) {
    finish_attempt(CloseKind::orderly, AttemptResult::not_sent);
    return;
  }
  const protocol::OpenRequest::LinePieces line =
      session_->request().with_client_timeout(deadline_ - event_loop_.now());
  state_ = State::sending_request;
  connection_->send({line.before, line.client_timeout(), line.after, "\r\n"});
  if (connection_->unsent_bytes() == 0) state_ = State::awaiting_reply;
}

void BackendConnection::on_all_sent() {
  if (state_ == State::sending_request) state_ = State::awaiting_reply;
  session_->set_downstream_reading(true);
}

void BackendConnection::on_received(std::string_view bytes) {
  if (state_ != State::established) read_first_reply(bytes);
  if (state_ == State::established && !bytes.empty()) read_session_lines(bytes);
}

// On return, `bytes` holds the data that follows the reply.
void BackendConnection::read_first_reply(std::string_view& bytes) {
  bytes = lines_.feed(bytes, [this](std::string_view line) {
    on_first_reply(line);
    return false;
  });
  if (lines_.is_overlong()) finish_attempt(CloseKind::broken, AttemptResult::error);
}

void BackendConnection::on_first_reply(std::string_view line) {
  const protocol::BackendReply reply = protocol::parse_backend_reply(line);
  switch (reply.kind) {
    case protocol::ReplyKind::up:
      state_ = State::established;
      deadline_timer_.cancel();
      session_->on_upstream_established(line, event_loop_.now() - started_at_);
      return;
    case protocol::ReplyKind::bye:
      finish_attempt(CloseKind::orderly, AttemptResult::succeeded, reply.arguments, line);
      return;
    case protocol::ReplyKind::busy:
      finish_attempt(CloseKind::orderly, AttemptResult::rejected, reply.arguments);
      return;
    case protocol::ReplyKind::move:
      finish_attempt(CloseKind::orderly, AttemptResult::cancelled);
      return;
    case protocol::ReplyKind::error:
      finish_attempt(CloseKind::orderly, AttemptResult::error, reply.arguments);
      return;
    default:
      event_loop_.log().write(net::Topic::error, "unexpected reply from a backend: {}",
                              line.substr(0, kMaxLoggedReplyBytes));
      finish_attempt(CloseKind::orderly, AttemptResult::error);
  }
}

bool BackendConnection::has_sent_request() const {
  return state_ == State::sending_request || state_ == State::awaiting_reply;
}

// Until the last byte of the open request is written, the backend cannot have started the session, so the
// attempt is treated as a failed connection.
AttemptResult BackendConnection::result_without_reply(AttemptResult result_if_sent) const {
  return state_ == State::awaiting_reply ? result_if_sent : AttemptResult::connect_failed;
}

// ---- Session data ---------------------------------------------------------------------------------------

void BackendConnection::resume(net::SocketPtr socket) {
  session_->set_upstream(this);
  state_ = State::established;
  connection_ = net::Connection::adopt(event_loop_, std::move(socket), *this);
}

// Forwards the bytes as they arrive, then scans them for the lines that the relay itself interprets.
void BackendConnection::read_session_lines(std::string_view bytes) {
  session_->on_upstream_data(bytes);
  while (!bytes.empty() && !lines_.is_overlong() && state_ == State::established) {
    bytes = lines_.feed(bytes, [this](std::string_view line) {
      const protocol::BackendReply reply = protocol::parse_backend_reply(line);
      last_line_kind_ = reply.kind;
      if (reply.kind == protocol::ReplyKind::load) {
        if (const auto value = protocol::parse_number(reply.arguments))
          owner_.on_load_line(*session_, *value);
      }
      return state_ == State::established;
    });
  }
}

void BackendConnection::send(std::string_view bytes) {
  connection_->send({bytes});
  if (connection_->unsent_bytes() > 0) session_->set_downstream_reading(false);
}

void BackendConnection::set_reading(bool is_enabled) {
  if (connection_) connection_->set_reading(is_enabled);
}

void BackendConnection::end_sending() {
  connection_->end_sending();
  deadline_timer_ = net::Timer(event_loop_, event_loop_.now() + kCloseTimeout,
                               [this] { finish_attempt(CloseKind::orderly, AttemptResult::cancelled); });
}

// ---- Closing --------------------------------------------------------------------------------------------

void BackendConnection::on_peer_closed(CloseKind kind) {
  const bool is_established = state_ == State::established;
  finish_attempt(kind, is_established ? established_result() : result_without_reply(AttemptResult::reset));
}

bool BackendConnection::has_received_last_line() const {
  return last_line_kind_ == protocol::ReplyKind::bye || last_line_kind_ == protocol::ReplyKind::move;
}

AttemptResult BackendConnection::established_result() const {
  if (last_line_kind_ == protocol::ReplyKind::bye) return AttemptResult::succeeded;
  const bool is_expected = has_received_last_line() || session_->has_client_left();
  return is_expected ? AttemptResult::cancelled : AttemptResult::reset;
}

void BackendConnection::finish_attempt(CloseKind kind, AttemptResult result, std::string_view report,
                                       std::string_view last_line) {
  if (state_ == State::closed) return;
  const LoadReport load = owner_.parse_load_report(report);
  const AttemptOutcome outcome{result, event_loop_.now() - started_at_};
  const bool was_established = state_ == State::established;
  const CloseMode close_mode = close_mode_now(result == AttemptResult::timed_out);
  state_ = State::closed;
  const UpstreamResult upstream_result =
      has_local_failure_ ? UpstreamResult::no_descriptors : to_upstream_result(result);
  log_result(upstream_result);
  session_->on_upstream_closed(was_established ? kind : CloseKind::orderly, outcome, load, last_line);
  close_connection(close_mode);
  owner_.on_closed(number_, upstream_result);
}

// An abandoned request must not be delivered later. After an orderly close the kernel would keep
// retransmitting it, so the connection is reset instead. An attempt whose request is not completely sent has
// failed to connect: the rest must not follow.
BackendConnection::CloseMode BackendConnection::close_mode_now(bool is_abandoned) const {
  if (state_ == State::established) return CloseMode::deliver_unsent;
  return is_abandoned && has_sent_request() ? CloseMode::reset : CloseMode::discard_unsent;
}

void BackendConnection::close_connection(CloseMode mode) {
  if (!connection_) return;
  if (mode == CloseMode::reset) {
    connection_->reset();
  } else if (mode == CloseMode::deliver_unsent && connection_->unsent_bytes() > 0) {
    connection_->close_gracefully();
  } else {
    connection_->close();
  }
}

void BackendConnection::abandon() {
  close_connection(close_mode_now(true));
  detach(UpstreamResult::abandoned);
}

void BackendConnection::reset() {
  if (connection_) connection_->reset();
  detach(UpstreamResult::abandoned);
}

void BackendConnection::detach(UpstreamResult result) {
  if (std::exchange(state_, State::closed) == State::closed) return;
  log_result(result);
  session_->set_upstream(nullptr);
  owner_.on_closed(number_, result);
}

void BackendConnection::log_result(UpstreamResult result) {
  const std::uint64_t backend = session_->backend ? session_->backend->name : 0;
  event_loop_.log().write(net::Topic::connection, "attempt={} session={} backend={} result={} duration_ms={}",
                          number_, session_->id(), backend, to_string(result),
                          (event_loop_.now() - started_at_) / kMillisecond);
}

// ---- Hot restart ----------------------------------------------------------------------------------------

// A backend that has sent its last line is about to close, so its connection is not handed over.
std::optional<int> BackendConnection::transferable_descriptor() const {
  if (state_ != State::established || has_received_last_line() || !connection_->is_transferable()) return {};
  return connection_->descriptor();
}

void BackendConnection::release_to_successor() {
  connection_->close();
  detach(UpstreamResult::handed_over);
}

}  // namespace cherryrail::proxy
