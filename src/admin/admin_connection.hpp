// A connection to the admin server: one HTTP/1.1 request and its response.
#pragma once

#include <memory>
#include <string_view>

#include "admin/route_table.hpp"
#include "net/connection.hpp"
#include "net/event_loop.hpp"
#include "net/timer.hpp"
#include "protocol/http_request.hpp"

namespace cherryrail::admin {

// Created by the admin server for each connection. Writes one log line at its end.
class AdminConnection final : public net::ConnectionHandler {
 public:
  AdminConnection(net::EventLoop& event_loop, const RouteTable& routes);
  ~AdminConnection();
  AdminConnection(const AdminConnection&) = delete;
  AdminConnection& operator=(const AdminConnection&) = delete;
  AdminConnection(AdminConnection&&) = delete;
  AdminConnection& operator=(AdminConnection&&) = delete;

  // To be called once, before any other function. Reads the data that has been received already.
  void start(net::SocketPtr socket);
  // Closes the connection to make room for another.
  void evict();

  [[nodiscard]] Micros last_received_at() const { return last_received_at_; }
  // Whether the response has been sent or is no longer needed.
  [[nodiscard]] bool is_finished() const { return is_finished_; }
  [[nodiscard]] bool is_closed() const { return !connection_->is_open(); }

  void on_received(std::string_view bytes) override;
  void on_end_of_stream() override;
  void on_connection_lost() override;

 private:
  // Answers an incomplete request with status 408.
  void on_request_timeout();
  void respond(const AdminResponse& response);
  void finish(std::string_view result);

  net::EventLoop& event_loop_;
  const RouteTable& routes_;
  Micros started_at_;
  Micros last_received_at_;
  std::shared_ptr<net::Connection> connection_;
  protocol::HttpRequest request_;
  net::Timer request_timer_;
  bool is_finished_ = false;
};

}  // namespace cherryrail::admin
