#include "support/loopback_relay.hpp"

#include <gtest/gtest.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <utility>

#include "support/fault_plan.hpp"

namespace cherryrail::testing {
namespace {

std::string endpoint_list(int revision, const char* is_complete, const std::vector<std::string>& endpoints) {
  std::string list = R"({"rev":)" + std::to_string(revision) + R"(,"all":)" + is_complete + R"(,"targets":[)";
  for (std::size_t i = 0; i < endpoints.size(); ++i) {
    if (i > 0) list += ',';
    list += endpoints[i];
  }
  return list + "]}";
}

}  // namespace

std::string http_chunk(const std::string& text) {
  std::array<char, 16> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
  return size.data() + text + "\r\n";
}

std::string endpoint_changes(int revision, const std::vector<std::string>& endpoints) {
  return endpoint_list(revision, "false", endpoints);
}

std::string endpoint_snapshot(int revision, const std::vector<std::string>& endpoints) {
  return endpoint_list(revision, "true", endpoints);
}

LoopbackRelay::LoopbackRelay(std::size_t backend_count, std::size_t max_descriptors,
                             const std::string& extra_settings, bool starts_now) {
  for (std::size_t i = 0; i < backend_count; ++i) backends.push_back(TestSocket::listening());
  port = TestSocket::listening().port();
  relay_config = config::parse_relay_config(config_text(max_descriptors, extra_settings));
  if (starts_now) proxy = std::make_unique<proxy::ProxyServer>(event_loop, relay_config);
}

std::string LoopbackRelay::endpoint(std::size_t index, const char* state) const {
  return R"({"uid":"s-)" + std::to_string(index) + R"(","endpoint":"127.0.0.1:)" +
         std::to_string(backends[index].port()) + R"(","az":"a","pod_group":0,"state":")" + state +
         R"(","capacity_hint":1.0,"boot_ms":0})";
}

std::string LoopbackRelay::config_text(std::size_t max_descriptors, const std::string& extra_settings) const {
  std::vector<std::string> known;
  for (std::size_t i = 0; i < backends.size(); ++i) known.push_back(endpoint(i, "active"));
  return R"({"name":"n","listen":"127.0.0.1:)" + std::to_string(port) + R"(","discovery":"127.0.0.1:)" +
         std::to_string(discovery.port()) + R"(","seed":"7","limits":{"sockets":)" +
         std::to_string(max_descriptors) + R"(},"known":)" + endpoint_snapshot(4, known) +
         R"(,"settings":{"step":1.0,"permissions":{"max_setups":3,"may_cancel":true,"connect_timeout":100},
         "invariants":{"warm_up":9000,"fall":3000,"ask_within":1000},"zones":["a"],"profiles":[{"name":"talk",
         "setup_goal":300.0,"client_timeout":1200.0,"payoff":1.0,"semantics":"idempotent"}])" +
         extra_settings + "}}";
}

bool LoopbackRelay::run_until(const std::function<bool()>& condition, int milliseconds) {
  const Micros deadline = event_loop.now() + milliseconds * Micros{1000};
  while (event_loop.now() < deadline) {
    if (condition()) return true;
    event_loop.run_once();
    poll(nullptr, 0, 1);
  }
  return condition();
}

void LoopbackRelay::run_for(int milliseconds) {
  run_until([] { return false; }, milliseconds);
}

void LoopbackRelay::run_with_full_buffers(int milliseconds) {
  const FaultPlanScope scope;
  fault_plan().send.error_number = EAGAIN;
  fault_plan().send.per_mille = 1000;
  run_for(milliseconds);
}

TestSocket LoopbackRelay::connect_client(std::string_view first_bytes) const {
  TestSocket client = TestSocket::connected_to(port);
  client.send(first_bytes);
  return client;
}

TestSocket LoopbackRelay::accept_attempt() {
  TestSocket connection;
  run_until([&] {
    for (const TestSocket& backend : backends) {
      if (!connection) connection = backend.accept();
    }
    return connection && connection.received().ends_with("\r\n");
  });
  return connection;
}

TestSocket LoopbackRelay::accept_connection() {
  TestSocket connection;
  run_until([&] {
    for (const TestSocket& backend : backends) {
      if (!connection) connection = backend.accept();
    }
    return static_cast<bool>(connection);
  });
  return connection;
}

TestSocket LoopbackRelay::accept_from(const TestSocket& listener, int milliseconds) {
  TestSocket connection;
  run_until(
      [&] {
        connection = listener.accept();
        return static_cast<bool>(connection);
      },
      milliseconds);
  return connection;
}

bool LoopbackRelay::has_unaccepted_attempt() const {
  return std::any_of(backends.begin(), backends.end(), [](const TestSocket& backend) {
    TestSocket connection = backend.accept();
    return connection && !connection.received().empty();
  });
}

void LoopbackRelay::expect_ended_unused(TestSocket& connection) {
  EXPECT_TRUE(run_until([&] { return connection.is_ended_by_peer(); }));
  EXPECT_EQ(connection.received(), "");
}

EstablishedSession LoopbackRelay::establish_session(const std::string& session_id) {
  TestSocket client = connect_client("OPEN " + session_id + " " + session_id + " c=talk,d=1200\r\n");
  TestSocket upstream = accept_attempt();
  upstream.send("UP r\r\n");
  EXPECT_TRUE(run_until([&] { return client.received() == "UP r\r\n"; }));
  return {std::move(client), std::move(upstream)};
}

std::size_t LoopbackRelay::backend_index(const TestSocket& connection) const {
  std::size_t index = 0;
  while (backends.at(index).port() != connection.port()) ++index;
  return index;
}

void answer_watch(const TestSocket& connection, const std::string& list) {
  connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + http_chunk(list + "\n"));
}

std::string LoopbackRelay::accept_watch() {
  watch = TestSocket();
  watch = accept_from(discovery, 3000);
  run_until([&] { return watch.received().find("\r\n\r\n") != std::string::npos; });
  watch.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  return watch.received();
}

void LoopbackRelay::publish_endpoints(const std::string& list) {
  if (!watch) accept_watch();
  watch.send(http_chunk(list + "\n"));
}

void LoopbackRelay::reload_config(const std::string& text) {
  const std::string path = ::testing::TempDir() + "cherryrail-" + std::to_string(getpid()) + ".json";
  std::ofstream(path) << text;
  event_loop.on_reload([this, path] { proxy->reload(path); });
  std::raise(SIGHUP);
  run_for(20);
  std::remove(path.c_str());
}

}  // namespace cherryrail::testing
