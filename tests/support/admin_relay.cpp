#include "support/admin_relay.hpp"

#include <gtest/gtest.h>

namespace cherryrail::testing {

AdminRelay::AdminRelay(std::size_t backend_count) : LoopbackRelay(backend_count, 500, "", false) {
  admin_port = TestSocket::listening().port();
  relay_config.admin = "127.0.0.1:" + std::to_string(admin_port);
  relay_config.admin_address = net::parse_address(relay_config.admin);
  relay_config.state_directory = folder.path();
  proxy = std::make_unique<proxy::ProxyServer>(event_loop, relay_config);
  admin_services = std::make_unique<admin::AdminServices>(event_loop, *proxy, relay_config);
}

TestSocket AdminRelay::connect_operator(std::string_view text) const {
  TestSocket connection = TestSocket::connected_to(admin_port);
  connection.send(text);
  return connection;
}

std::string AdminRelay::status_of(TestSocket connection) {
  EXPECT_TRUE(run_until([&] { return connection.is_ended_by_peer(); }));
  return connection.received().substr(0, std::string_view("HTTP/1.1 200").size());
}

std::string AdminRelay::change_backend(const std::string& action, const std::string& uid) {
  return status_of(connect_operator(http_post("/backends/" + action, R"({"who":")" + uid + R"("})")));
}

std::string http_post(const std::string& path, const std::string& body) {
  return "POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

std::string backend_uid(std::size_t index) { return "s-" + std::to_string(index); }

}  // namespace cherryrail::testing
