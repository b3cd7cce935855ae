// The admin HTTP server.
#include <gtest/gtest.h>

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "support/admin_relay.hpp"
#include "support/heap.hpp"

namespace cherryrail::testing {
namespace {

struct RequestAndStatus {
  std::string request;
  const char* status;
};

const std::vector<RequestAndStatus>& requests_and_statuses() {
  static const std::vector<RequestAndStatus> kRequests{
      {"GET /ready HTTP/1.1\r\n\r\n", "HTTP/1.1 200"},
      {"GET /ready?now HTTP/1.0\r\n\r\n", "HTTP/1.1 200"},
      {"GET /nowhere HTTP/1.1\r\n\r\n", "HTTP/1.1 404"},
      {"POST /ready HTTP/1.1\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 405"},
      {"GET /backends/disable HTTP/1.1\r\n\r\n", "HTTP/1.1 405"},
      {"POST /backends/disable HTTP/1.1\r\n\r\n{\"who\":\"s-0\"}", "HTTP/1.1 411"},
      {"POST /backends/disable HTTP/1.1\r\nContent-Length: -1\r\n\r\n", "HTTP/1.1 400"},
      {"POST /backends/disable HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n", "HTTP/1.1 413"},
      {"POST /backends/disable HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n", "HTTP/1.1 413"},
      {"POST /backends/disable HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n", "HTTP/1.1 400"},
      {"POST /backends/disable HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "HTTP/1.1 501"},
      {http_post("/backends/disable", "who?"), "HTTP/1.1 400"},
      {http_post("/backends/disable", "{\"who\":7}"), "HTTP/1.1 400"},
      {http_post("/backends/disable", "[\"who\"]"), "HTTP/1.1 400"},
      {http_post("/backends/disable", "{\"who\":\"s-9\"}"), "HTTP/1.1 404"},
      {http_post("/backends/enable", "{\"who\":\"s-9\"}"), "HTTP/1.1 404"},
      {"GET /" + std::string(20000, 'x') + " HTTP/1.1\r\n\r\n", "HTTP/1.1 431"},
      {"\x16\x03\x01\r\n\r\n", "HTTP/1.1 400"},
      {"GET /ready HTTP/9\r\n\r\n", "HTTP/1.1 505"}};
  return kRequests;
}

TEST(AdminServer, AnswersEachRequestWithItsStatusAndInvalidOnesDisableNothing) {
  AdminRelay relay(1);

  for (const auto& [request, status] : requests_and_statuses())
    EXPECT_EQ(relay.status_of(relay.connect_operator(request)), status) << request.substr(0, 80);
  TestSocket incomplete_request = relay.connect_operator("POST /backends/disable HTTP/1.1\r\nContent-Le");
  incomplete_request.finish_sending();
  EXPECT_EQ(relay.status_of(std::move(incomplete_request)), "HTTP/1.1 400");

  relay.establish_session("1");
}

// Connections with incomplete requests must block neither further requests nor clients.
TEST(AdminServer, EvictsTheLongestIdleConnectionForANewRequest) {
  AdminRelay relay(1);
  std::vector<TestSocket> idle;
  for (int i = 0; i < 40; ++i) idle.push_back(relay.connect_operator(i % 2 != 0 ? "GET /rea" : ""));

  EXPECT_EQ(relay.status_of(relay.connect_operator("GET /ready HTTP/1.1\r\n\r\n")), "HTTP/1.1 200");

  EXPECT_TRUE(relay.run_until([&] { return idle.front().is_ended_by_peer(); }));  // idle for longest
  EXPECT_FALSE(idle.back().is_ended_by_peer());
  relay.establish_session("1");
}

TEST(AdminServer, ReportsTheSettingIfTheAddressIsInUse) {
  LoopbackRelay relay(1);
  const TestSocket other_listener = TestSocket::listening();
  relay.relay_config.admin = "127.0.0.1:" + std::to_string(other_listener.port());
  relay.relay_config.admin_address = net::parse_address(relay.relay_config.admin);

  try {
    const admin::AdminServices services(relay.event_loop, *relay.proxy, relay.relay_config);
    FAIL() << "the admin server listens at an address in use";
  } catch (const config::ConfigError& error) {
    EXPECT_TRUE(std::string(error.what()).starts_with("mgmt: ")) << error.what();
  }
}

TEST(AdminServer, StatisticsCountResultsAndInvariantViolations) {
  AdminRelay relay(1);
  EstablishedSession session = relay.establish_session("1");
  session.client.close();
  ASSERT_TRUE(relay.run_until([&] { return session.upstream.is_ended_by_peer(); }));
  session.upstream.close();
  TestSocket bad = relay.connect_client("nonsense\r\n");
  ASSERT_TRUE(relay.run_until([&] { return bad.is_ended_by_peer(); }));
  relay.run_for(50);

  TestSocket caller = relay.connect_operator("GET /stats HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(relay.run_until([&] { return caller.is_ended_by_peer(); }));

  const std::string response = caller.received();
  const auto statistics = nlohmann::json::parse(response.substr(response.find("\r\n\r\n")));
  EXPECT_EQ(statistics.at("downstream").at("bad_request"), 1);
  EXPECT_EQ(statistics.at("downstream").at("rejected_no_backend"), 0);
  EXPECT_EQ(statistics.at("attempts").at("cancelled"), 1);
  EXPECT_EQ(statistics.at("invariant_violations").at("one_final_answer"), 0);
  EXPECT_EQ(statistics.at("disabled_backends_not_stored"), 0);
}

// Guards against a monitor that asks at full speed: each of its connections was kept until the request
// timeout.
TEST(AdminServer, KeepsNothingOfAnsweredRequests) {
  constexpr int kRequests = 500;
  constexpr std::size_t kSlackBytes = 65536;  // for buffers that are reused
  AdminRelay relay(1);
  const auto ask = [&relay](int count) {
    for (int i = 0; i < count; ++i)
      EXPECT_EQ(relay.status_of(relay.connect_operator("GET /ready HTTP/1.1\r\n\r\n")), "HTTP/1.1 200");
  };
  ask(100);
  const std::size_t before = allocated_heap_bytes();

  ask(kRequests);

  EXPECT_LT(allocated_heap_bytes(), before + kSlackBytes);
}

}  // namespace
}  // namespace cherryrail::testing
