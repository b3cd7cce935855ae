// The relay at its descriptor limit.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "support/fault_plan.hpp"
#include "support/loopback_relay.hpp"

namespace cherryrail::testing {
namespace {

// Descriptors of the process that EventLoop::watch_count() does not include.
constexpr std::size_t kEventLoopDescriptors = 6;

// With idle clients up to the limit, the relay can still receive an endpoint list once discovery recovers,
// and serve the next request by it.
class DescriptorLimit : public ::testing::TestWithParam<std::size_t> {};

INSTANTIATE_TEST_SUITE_P(MinimumQuarterAndDefault, DescriptorLimit, ::testing::Values(16, 256, 1024));

TEST_P(DescriptorLimit, IdleClientsLeaveDescriptorsForDiscoveryAndANewSession) {
  const std::size_t limit = GetParam();
  LoopbackRelay relay(1, limit, "", false);
  const int discovery_port = relay.discovery.port();
  relay.discovery.close();
  const proxy::ProxyServer proxy(relay.event_loop, relay.relay_config);
  const std::vector<const char*> beginnings{"", "OPEN 77", "PING\r\n"};

  std::vector<TestSocket> idle;
  for (std::size_t i = 0; i < limit + 20; ++i) {
    idle.push_back(relay.connect_client(beginnings[i % beginnings.size()]));
    if (i % 50 == 0) relay.event_loop.run_once();
  }
  relay.run_for(100);
  EXPECT_LE(relay.event_loop.watch_count() + kEventLoopDescriptors, limit);

  relay.discovery = TestSocket::listening(discovery_port);
  relay.backends.push_back(TestSocket::listening());
  relay.publish_endpoints(endpoint_snapshot(5, {relay.endpoint(0, "leaving"), relay.endpoint(1, "active")}));
  relay.run_for(50);
  TestSocket client = relay.connect_client("OPEN 1 1 c=talk,d=1200\r\n");
  TestSocket upstream = relay.accept_attempt();

  ASSERT_TRUE(upstream) << limit;
  EXPECT_EQ(relay.backend_index(upstream), 1u);
  upstream.send("UP r\r\n");
  EXPECT_TRUE(relay.run_until([&] { return client.received() == "UP r\r\n"; })) << limit;
  EXPECT_LE(relay.event_loop.watch_count() + kEventLoopDescriptors, limit);
}

// Connections that stay open after sending nothing, or only a PING, hold descriptors that sessions need.
TEST(DescriptorLimits, ManyIdleConnectionsDoNotPreventNewSessions) {
  LoopbackRelay relay(1, 60);
  std::vector<TestSocket> idle_connections;

  for (int i = 0; i < 40; ++i) idle_connections.push_back(relay.connect_client(i % 2 != 0 ? "PING\r\n" : ""));
  const auto session = relay.establish_session("1");
  for (int i = 0; i < 40; ++i)
    idle_connections.push_back(relay.connect_client(i % 2 != 0 ? "PING\r\n" : "OP"));
  const auto another = relay.establish_session("2");

  EXPECT_TRUE(relay.run_until(
      [&] {
        return std::all_of(idle_connections.begin(), idle_connections.end(),
                           [](TestSocket& connection) { return connection.is_ended_by_peer(); });
      },
      3000));
}

TEST(DescriptorLimits, ClientsBeyondTheLimitGetAWholeLineDespiteShortWrites) {
  const FaultPlanScope scope;
  LoopbackRelay relay(1, 30);
  std::vector<TestSocket> clients;

  fault_plan().short_io_per_mille = 1000;
  for (int i = 0; i < 60; ++i) {
    clients.push_back(relay.connect_client(""));
    relay.run_for(2);
  }

  std::size_t rejected = 0;
  relay.run_for(50);
  for (TestSocket& client : clients) {
    if (!client.is_ended_by_peer()) continue;
    ++rejected;
    EXPECT_EQ(client.received(), "BUSY\r\n");
  }
  EXPECT_GT(rejected, 20U);
}

TEST(DescriptorLimits, RejectsClientsBeyondTheLimitAndKeepsEstablishedSessions) {
  LoopbackRelay relay(1, 30);
  std::vector<EstablishedSession> sessions;
  TestSocket rejected;

  for (int i = 0; i < 8 && !rejected; ++i) {
    TestSocket client = relay.connect_client("OPEN " + std::to_string(i) + " 1 c=talk,d=1200\r\n");
    TestSocket upstream = relay.accept_attempt();
    if (!upstream) {
      rejected = std::move(client);
      break;
    }
    upstream.send("UP r\r\n");
    sessions.push_back({std::move(client), std::move(upstream)});
  }

  ASSERT_GE(sessions.size(), 1u);
  EXPECT_EQ(rejected.received(), "BUSY\r\n");
  sessions[0].client.send("still there\r\n");
  EXPECT_TRUE(relay.run_until([&] { return sessions[0].upstream.received().ends_with("still there\r\n"); }));
}

// An attempt that fails because this process has no descriptor left has not reached the backend.
TEST(DescriptorLimits, LackOfDescriptorsIsNotABackendFailure) {
#ifdef __SANITIZE_ADDRESS__
  GTEST_SKIP() << "the sanitizers need descriptors for their own checks and end the process without them";
#endif
  LoopbackRelay relay(2);
  TestSocket client = relay.connect_client("PING\r\n");
  ASSERT_TRUE(relay.run_until([&] { return client.received() == "PONG\r\n"; }));

  ::testing::internal::CaptureStderr();
  bool is_rejected = false;
  {
    const NoDescriptorsLeft none_left;
    client.send("OPEN 9b1f 7f3a c=talk,d=1200,g=5c,x=new\r\n");
    is_rejected = relay.run_until([&] { return client.received() == "PONG\r\nBUSY\r\n"; });
  }
  const std::string log = ::testing::internal::GetCapturedStderr();

  EXPECT_TRUE(is_rejected);
  EXPECT_NE(log.find("result=no_descriptors"), std::string::npos) << log;
  EXPECT_EQ(log.find("connect_failed"), std::string::npos) << log;
}

}  // namespace
}  // namespace cherryrail::testing
