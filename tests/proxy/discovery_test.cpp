// The relay follows the endpoint list of a discovery server over sockets.
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "support/loopback_relay.hpp"

namespace cherryrail::testing {
namespace {

constexpr const char* kPushedLists =
    R"(,"discovery":"pushed","invariants":{"warm_up":9000,"fall":3000,"stop_sending_within":400})";

TEST(Discovery, ReadsAnIndentedListThatArrivesByteByByte) {
  LoopbackRelay relay(2);
  auto session = relay.establish_session("1");
  const std::size_t index = relay.backend_index(session.upstream);
  const std::string list =
      R"(  { "rev" : 5,  "all":false,	"targets" : [ )" + relay.endpoint(index, "leaving") + " ] }\n";
  relay.accept_watch();

  for (const char byte : http_chunk(list)) {
    relay.watch.send({&byte, 1});
    relay.event_loop.run_once();
  }

  EXPECT_TRUE(relay.run_until([&] { return session.client.received() == "UP r\r\nMOVE\r\n"; }));
}

// The largest endpoint list allowed: 1,200 backends, each in its own zone, and as many relays.
TEST(Discovery, AppliesTheLargestListWithinOneSecond) {
  constexpr std::size_t kEndpoints = 1200;
  LoopbackRelay relay(2, 500, R"(,"balancers":1200)");
  std::vector<std::string> endpoints;
  for (std::size_t i = 0; i < kEndpoints; ++i) {
    const std::string number = std::to_string(i);
    endpoints.push_back(R"({"uid":"t-)" + number + R"(","endpoint":"127.0.0.1:1","az":"z)" + number +
                        R"(","pod_group":)" + number +
                        R"(,"state":"leaving","capacity_hint":1.0,"boot_ms":0})");
  }
  endpoints.push_back(relay.endpoint(0, "leaving"));
  endpoints.push_back(relay.endpoint(1, "active"));

  const Micros published_at = relay.event_loop.now();
  relay.publish_endpoints(endpoint_snapshot(5, endpoints));
  TestSocket client = relay.connect_client("OPEN 1 1 c=talk,d=1200\r\n");
  TestSocket upstream = relay.accept_attempt();

  ASSERT_TRUE(upstream);
  EXPECT_LT(relay.event_loop.now() - published_at, 1'000'000);
}

TEST(Discovery, KeepsThePreviousListAndRetriesAfterAMalformedList) {
  LoopbackRelay relay(1);

  relay.publish_endpoints("{\"rev\":5,\"targets\":[{\"no\":\"uid\"}]}");
  EXPECT_TRUE(relay.run_until([&] { return relay.watch.is_ended_by_peer(); }));
  relay.establish_session("1");

  relay.watch = TestSocket();
  relay.watch = relay.accept_from(relay.discovery);
  EXPECT_TRUE(relay.watch);
  EXPECT_TRUE(relay.run_until([&] { return relay.watch.received().find("after=4 ") != std::string::npos; }));
}

// Guards against a first line that is waited for anew once the head of the response has come.
TEST(Discovery, TheHeadOfTheResponseDoesNotProlongTheWaitForTheFirstLine) {
  LoopbackRelay relay(1, 500, R"(,"discovery":"on_request")");
  relay.watch = relay.accept_from(relay.discovery);
  relay.run_for(2500);
  ASSERT_FALSE(relay.watch.is_ended_by_peer());

  relay.watch.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");

  EXPECT_TRUE(relay.accept_from(relay.discovery, 1500));
}

// A lagging discovery server would bring back backends that are gone, but a server whose version counter has
// restarted must be followed eventually.
TEST(Discovery, AcceptsALowerVersionOnlyIfItIsRepeated) {
  LoopbackRelay relay(2);
  auto session = relay.establish_session("1");
  const std::size_t index = relay.backend_index(session.upstream);
  const std::string lower_version = endpoint_snapshot(2, {relay.endpoint(1 - index, "active")});

  relay.publish_endpoints(lower_version);
  EXPECT_TRUE(relay.run_until([&] { return relay.watch.is_ended_by_peer(); }));
  EXPECT_EQ(session.client.received(), "UP r\r\n");

  EXPECT_TRUE(relay.run_until(
      [&] {
        if (relay.watch.is_ended_by_peer()) {
          EXPECT_NE(relay.accept_watch().find("after=0 "), std::string::npos);
          relay.publish_endpoints(lower_version);
        }
        return session.client.received() == "UP r\r\nMOVE\r\n";
      },
      4000));
}

// The relay is expected to know a change that a silent watch has missed six seconds after the last line of
// the watch, with 300 relays as with one.
TEST(Discovery, RenewsASilentWatchBeforeItsListIsTooOld) {
  LoopbackRelay relay(1, 500, R"(,"balancers":300,"discovery":"on_request",
      "invariants":{"warm_up":9000,"fall":3000,"ask_within":20000})");
  relay.publish_endpoints(endpoint_changes(5, {}));
  relay.run_for(20);
  const Micros last_line_at = relay.event_loop.now();

  EXPECT_TRUE(relay.run_until([&] { return relay.watch.is_ended_by_peer(); }, 3500));
  const TestSocket renewed = relay.accept_from(relay.discovery, 2500);
  EXPECT_TRUE(renewed);

  EXPECT_LT(relay.event_loop.now() - last_line_at, 5'500'000);
}

// A watch request that was sent while discovery was recovering may hang. Timeout and retry have to fit into
// six seconds each time, with two seconds left for the response. Once one is answered, the others end.
TEST(Discovery, RenewsAHangingWatchInTimeAfterEachFailure) {
  LoopbackRelay relay(1, 500, R"(,"balancers":350,"discovery":"on_request",
      "invariants":{"warm_up":9000,"fall":3000,"ask_within":20000})");
  std::vector<TestSocket> hanging;
  hanging.push_back(relay.accept_from(relay.discovery));
  ASSERT_TRUE(hanging.back());

  for (int round = 0; round < 3; ++round) {
    const Micros requested_at = relay.event_loop.now();
    relay.watch = relay.accept_from(relay.discovery, 5500);
    EXPECT_TRUE(relay.watch) << round;
    EXPECT_LE(relay.event_loop.now() - requested_at, 5'200'000);
    EXPECT_FALSE(hanging.back().is_ended_by_peer());
    hanging.push_back(std::move(relay.watch));
  }
  TestSocket answered = std::move(hanging.back());
  hanging.pop_back();
  answer_watch(answered, endpoint_changes(5, {}));

  EXPECT_TRUE(relay.run_until([&] { return std::ranges::all_of(hanging, &TestSocket::is_ended_by_peer); }));
  EXPECT_FALSE(answered.is_ended_by_peer());
}

TEST(Discovery, RenewsAPushedWatchThatReceivesNoFirstLine) {
  LoopbackRelay relay(1, 500, kPushedLists);

  TestSocket first = relay.accept_from(relay.discovery);
  EXPECT_TRUE(first);
  TestSocket renewed = relay.accept_from(relay.discovery, 1800);

  ASSERT_TRUE(renewed);
  EXPECT_FALSE(first.is_ended_by_peer());
  answer_watch(renewed, endpoint_changes(5, {}));
  EXPECT_TRUE(relay.run_until([&] { return first.is_ended_by_peer(); }));
}

// The list in the configuration may be outdated at the start, and all its backends may be draining.
TEST(Discovery, ClientsWaitForTheFirstPushedList) {
  LoopbackRelay relay(3, 500, kPushedLists);
  std::vector<TestSocket> clients;
  for (int i = 0; i < 6; ++i)
    clients.push_back(relay.connect_client("OPEN " + std::to_string(i) + " 1 c=talk,d=1200\r\n"));

  relay.publish_endpoints(endpoint_changes(5, {relay.endpoint(0, "leaving"), relay.endpoint(1, "leaving")}));

  std::vector<TestSocket> attempts;
  EXPECT_TRUE(relay.run_until([&] {
    TestSocket attempt = relay.backends[2].accept();
    if (attempt) attempts.push_back(std::move(attempt));
    return attempts.size() == 6;
  }));
  EXPECT_FALSE(relay.backends[0].accept());
  EXPECT_FALSE(relay.backends[1].accept());
}

TEST(Discovery, ServesClientsByTheKnownListIfNoPushedListArrives) {
  LoopbackRelay relay(1, 500, kPushedLists);

  relay.establish_session("1");
}

TEST(Discovery, RejectsClientsUntilAListArrivesIfNoBackendIsKnown) {
  LoopbackRelay relay(1, 500, "", false);
  std::string config = relay.config_text(500);
  const std::string known = relay.endpoint(0, "active");
  config.replace(config.find(known), known.size(), "");
  relay.relay_config = config::parse_relay_config(config);
  relay.proxy = std::make_unique<proxy::ProxyServer>(relay.event_loop, relay.relay_config);

  TestSocket client = relay.connect_client("OPEN 9b1f 7f3a c=talk,d=1200\r\n");
  EXPECT_TRUE(relay.run_until([&] { return client.is_ended_by_peer(); }, 100));
  EXPECT_EQ(client.received(), "BUSY\r\n");

  relay.publish_endpoints(endpoint_snapshot(5, {relay.endpoint(0, "active")}));
  relay.run_for(20);
  relay.establish_session("2");
}

enum class DiscoveryFault { sends_nothing, refuses_connections, responds_busy };

// Nine in ten processes have to be ready within ten seconds of their start; this one has to be within two.
void expect_ready_in_time(const std::string& extra_settings, DiscoveryFault fault) {
  LoopbackRelay relay(1, 500, extra_settings, false);
  if (fault == DiscoveryFault::refuses_connections) relay.discovery.close();
  const proxy::ProxyServer proxy(relay.event_loop, relay.relay_config);
  TestSocket client = relay.connect_client("PING\r\n");

  std::vector<TestSocket> watches;
  EXPECT_TRUE(relay.run_until([&] {
    TestSocket watch = fault == DiscoveryFault::refuses_connections ? TestSocket() : relay.discovery.accept();
    if (watch) {
      if (fault == DiscoveryFault::responds_busy)
        watch.send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
      watches.push_back(std::move(watch));
    }
    return client.received() == "PONG\r\n";
  })) << extra_settings
      << ", fault " << static_cast<int>(fault);
}

TEST(Discovery, RelayIsReadyInTimeWhileDiscoveryHangsRefusesOrIsBusy) {
  for (const char* extra_settings : {kPushedLists, R"(,"balancers":350,"discovery":"on_request")"}) {
    for (const DiscoveryFault fault :
         {DiscoveryFault::sends_nothing, DiscoveryFault::refuses_connections, DiscoveryFault::responds_busy})
      expect_ready_in_time(extra_settings, fault);
  }
}

}  // namespace
}  // namespace cherryrail::testing
