#include "admin/admin_server.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace cherryrail::admin {
namespace {

using net::Connection;
using net::Topic;

constexpr Micros kCallWithin = 5'000'000;  // a connection whose call is not whole by then is closed

const char* reason_of(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 408:
      return "Request Timeout";
    case 411:
      return "Length Required";
    case 413:
      return "Content Too Large";
    case 431:
      return "Request Header Fields Too Large";
    case 501:
      return "Not Implemented";
    case 503:
      return "Service Unavailable";
    case 505:
      return "HTTP Version Not Supported";
    default:
      return "Internal Server Error";
  }
}

}  // namespace

AdminResponse refusal(int status, const std::string& why) {
  return {status, nlohmann::json{{"error", why}}.dump()};
}

AdminResponse look_up(const std::vector<Route>& table, const protocol::HttpRequest& call) {
  bool path_known = false;
  for (const Route& row : table) {
    if (row.path != call.path()) continue;
    path_known = true;
    if (row.method != call.method()) continue;
    try {
      return row.handler(call.body());
    } catch (const std::exception& failure) {
      return refusal(500, failure.what());
    }
  }
  return path_known ? refusal(405, "that path takes another method") : refusal(404, "no such path");
}

class AdminServer::AdminConnection final : public net::ConnectionHandler {
 public:
  explicit AdminConnection(AdminServer& calls)
      : calls_(calls), began_(calls.event_loop_.now()), heard_at_(began_) {}
  ~AdminConnection() {
    if (connection_) connection_->close();
  }

  void start(net::SocketPtr socket) {
    connection_ = net::Connection::adopt(calls_.event_loop_, std::move(socket), *this);
    connection_->read_now();
  }
  Micros heard_at() const { return heard_at_; }
  bool answered() const { return answered_; }
  bool gone() const { return !connection_->is_open(); }
  void drop(const char* reason) {
    leave(reason);
    connection_->close();
  }
  void look_at_clock() {
    if (!answered_) answer(refusal(408, "the call did not come whole"));
  }

  void on_received(std::string_view bytes) override {
    heard_at_ = calls_.event_loop_.now();
    switch (call_.feed(bytes)) {
      case protocol::HttpRequest::State::more:
        return;
      case protocol::HttpRequest::State::bad:
        return answer(refusal(call_.fault(), "the call cannot be read"));
      case protocol::HttpRequest::State::whole:
        return answer(look_up(calls_.table_, call_));
    }
  }
  void on_end_of_stream() override { answer(refusal(400, "the call ended before it was whole")); }
  void on_connection_lost() override { leave("client_left"); }

 private:
  void answer(const AdminResponse& reply) {
    const std::string status = std::to_string(reply.status);
    const std::string head = "HTTP/1.1 " + status + " " + reason_of(reply.status) +
                             "\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: " +
                             std::to_string(reply.text.size() + 1) + "\r\n\r\n";
    connection_->send({head, reply.text, "\n"});
    connection_->close_gracefully();
    leave(status.c_str());
  }
  void leave(const char* reason) {
    if (std::exchange(answered_, true)) return;
    calls_.event_loop_.log().write(net::Topic::connection, "admin={} {} result={} duration_ms={}",
                                   call_.method().empty() ? "-" : call_.method(),
                                   call_.path().empty() ? "-" : call_.path().substr(0, 80), reason,
                                   (calls_.event_loop_.now() - began_) / 1000);
  }

  AdminServer& calls_;
  Micros began_, heard_at_;
  std::shared_ptr<net::Connection> connection_;
  protocol::HttpRequest call_;
  bool answered_ = false;
};

AdminServer::AdminServer(net::EventLoop& event_loop, const net::Address& listen_on, std::vector<Route> table)
    : event_loop_(event_loop), table_(std::move(table)),
      listener_(event_loop, net::create_listening_socket(listen_on),
                [this](net::SocketPtr socket) { take_in(std::move(socket)); }) {
  listener_.set_accepting(true);
}

AdminServer::~AdminServer() = default;

// Danger: callers that hold a connection and never end their call would keep the next one out. So there is
// always room for one more: first those that have their answer go, then the one that has said nothing
// longest.
void AdminServer::take_in(net::SocketPtr socket) {
  std::erase_if(callers_, [](const auto& caller) { return caller->gone(); });
  if (callers_.size() >= kCallers) {
    const auto last = std::min_element(callers_.begin(), callers_.end(), [](const auto& a, const auto& b) {
      return std::pair(!a->answered(), a->heard_at()) < std::pair(!b->answered(), b->heard_at());
    });
    (*last)->drop("evicted");
    callers_.erase(last);
  }
  const auto caller = std::make_shared<AdminConnection>(*this);
  callers_.push_back(caller);
  caller->start(std::move(socket));
  event_loop_.call_at(event_loop_.now() + kCallWithin, [weak = std::weak_ptr<AdminConnection>(caller)] {
    if (const auto late = weak.lock()) late->look_at_clock();
  });
}

}  // namespace cherryrail::admin
