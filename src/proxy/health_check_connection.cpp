#include "proxy/health_check_connection.hpp"

#include <utility>

#include "protocol/backend_reply.hpp"

namespace cherryrail::proxy {

HealthCheckConnection::HealthCheckConnection(net::EventLoop& event_loop, const HealthCheckConfig& config,
                                             std::string uid, std::function<void()> on_idle)
    : event_loop_(event_loop), config_(config), uid_(std::move(uid)), on_idle_(std::move(on_idle)) {}

HealthCheckConnection::~HealthCheckConnection() {
  if (connection_) connection_->close();
}

void HealthCheckConnection::check(const net::Address& address, HealthCheckCallback on_result) {
  on_result_ = std::move(on_result);
  started_at_ = event_loop_.now();
  connect_timer_.cancel();
  if (address != address_) close_connection();
  address_ = address;
  if (connection_) {
    send_request();
  } else {
    const net::ConnectAttempt attempt = net::Connection::connect(event_loop_, address_, *this);
    connection_ = attempt.connection;
    is_connected_ = false;
    if (!connection_) {
      // A shortage on this machine says nothing about the backend's health, so it counts as a rejected check.
      finish(attempt.is_local_failure ? AttemptResult::rejected : AttemptResult::connect_failed, {});
      return;
    }
    connect_timer_ = net::Timer(event_loop_, started_at_ + config_.connect_timeout, [this] {
      if (!is_connected_) on_timeout();
    });
  }
  check_timer_ = net::Timer(event_loop_, started_at_ + config_.response_timeout, [this] { on_timeout(); });
}

void HealthCheckConnection::send_request() { connection_->send({config_.request, "\r\n"}); }

void HealthCheckConnection::on_connected() {
  is_connected_ = true;
  send_request();
}

void HealthCheckConnection::on_received(std::string_view bytes) {
  lines_.feed(bytes, [this](std::string_view line) {
    on_reply(line);
    return connection_ != nullptr;
  });
  if (lines_.is_overlong()) fail(AttemptResult::error);
}

void HealthCheckConnection::on_reply(std::string_view line) {
  const protocol::BackendReply reply = protocol::parse_backend_reply(line);
  switch (reply.kind) {
    case protocol::ReplyKind::pong:
      finish(AttemptResult::succeeded, reply.arguments);
      return;
    case protocol::ReplyKind::error:
      finish(AttemptResult::error, reply.arguments);
      return;
    default:  // the backend accepts no health checks, now or ever
      finish(AttemptResult::rejected, reply.arguments);
  }
}

void HealthCheckConnection::on_end_of_stream() { fail(AttemptResult::reset); }

void HealthCheckConnection::on_connection_lost() {
  fail(is_connected_ ? AttemptResult::reset : AttemptResult::connect_failed);
}

void HealthCheckConnection::on_timeout() {
  if (!on_result_) return;
  fail(is_connected_ ? AttemptResult::timed_out : AttemptResult::connect_failed);
}

void HealthCheckConnection::fail(AttemptResult result) {
  log_result(is_connected_ ? "failed" : "connect_failed");
  close_connection();
  finish(result, {});
}

// Posts the result, because the balancer may still be in the step that requested the check.
void HealthCheckConnection::finish(AttemptResult result, std::string_view report) {
  const AttemptOutcome outcome{result, event_loop_.now() - started_at_};
  if (on_result_) {
    event_loop_.post([on_result = std::exchange(on_result_, nullptr), outcome,
                      report_text = std::string(report)] { on_result(outcome, report_text); });
  }
  schedule_idle_timeout();
}

// Closes an unused connection, since it takes up one of the backend's limited number of connections.
void HealthCheckConnection::schedule_idle_timeout() {
  const Micros idle_deadline = event_loop_.now() + config_.idle_timeout;
  check_timer_ = net::Timer(event_loop_, idle_deadline, [this] {
    const auto keep_alive = shared_from_this();
    if (connection_) log_result("idle_timeout");
    on_idle_();
  });
}

void HealthCheckConnection::close_connection() {
  if (connection_) connection_->close();
  connection_.reset();
  lines_ = {};
}

void HealthCheckConnection::log_result(std::string_view result) const {
  event_loop_.log().write(net::Topic::connection, "health_check={} result={}", uid_, result);
}

}  // namespace cherryrail::proxy
