#include "admin/admin_connection.hpp"

#include <cstddef>
#include <string>
#include <utility>

#include "net/log.hpp"

namespace cherryrail::admin {
namespace {

using protocol::HttpRequest;
using protocol::HttpStatus;

// A request fits into one packet, so one that is incomplete after this time is not expected to be completed.
constexpr Micros kRequestTimeout = 5 * kSecond;

constexpr std::size_t kMaxLoggedPathLength = 80;  // only scanners send longer paths

std::string or_dash(const std::string& text) { return text.empty() ? "-" : text; }

std::string response_head(const AdminResponse& response) {
  const std::size_t content_length = response.body.size() + 1;  // including the line end
  return "HTTP/1.1 " + std::to_string(protocol::status_code(response.status)) + " " +
         protocol::reason_phrase(response.status) +
         "\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: " +
         std::to_string(content_length) + "\r\n\r\n";
}

}  // namespace

AdminConnection::AdminConnection(net::EventLoop& event_loop, const RouteTable& routes)
    : event_loop_(event_loop), routes_(routes), started_at_(event_loop.now()),
      last_received_at_(started_at_) {}

AdminConnection::~AdminConnection() {
  if (connection_) connection_->close();
}

void AdminConnection::start(net::SocketPtr socket) {
  connection_ = net::Connection::adopt(event_loop_, std::move(socket), *this);
  request_timer_ = net::Timer(event_loop_, started_at_ + kRequestTimeout, [this] { on_request_timeout(); });
  connection_->read_now();
}

void AdminConnection::on_request_timeout() {
  respond(error_response(HttpStatus::request_timeout, "the call did not come whole"));
}

void AdminConnection::evict() {
  finish("evicted");
  connection_->close();
}

void AdminConnection::on_received(std::string_view bytes) {
  last_received_at_ = event_loop_.now();
  switch (request_.feed(bytes)) {
    case HttpRequest::State::incomplete:
      return;
    case HttpRequest::State::malformed:
      return respond(error_response(request_.error_status(), "the call cannot be read"));
    case HttpRequest::State::complete:
      return respond(routes_.dispatch(request_));
  }
}

void AdminConnection::on_end_of_stream() {
  respond(error_response(HttpStatus::bad_request, "the call ended before it was whole"));
}

void AdminConnection::on_connection_lost() { finish("client_left"); }

void AdminConnection::respond(const AdminResponse& response) {
  connection_->send({response_head(response), response.body, "\n"});
  connection_->close_gracefully();
  finish(std::to_string(protocol::status_code(response.status)));
}

void AdminConnection::finish(std::string_view result) {
  if (std::exchange(is_finished_, true)) return;
  request_timer_.cancel();
  event_loop_.log().write(net::Topic::connection, "admin={} {} result={} duration_ms={}",
                          or_dash(request_.method()),
                          or_dash(request_.path().substr(0, kMaxLoggedPathLength)), result,
                          (event_loop_.now() - started_at_) / kMillisecond);
}

}  // namespace cherryrail::admin
