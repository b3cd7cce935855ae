// Reload of the configuration on SIGHUP: sessions are kept, and only one discovery server is followed at a
// time.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <fstream>
#include <string>
#include <utility>
#include <vector>

#include "support/loopback_relay.hpp"
#include "support/temporary_folder.hpp"

namespace cherryrail::testing {
namespace {

TEST(Reload, KeepsSessionsAndFollowsTheOldDiscoveryServerUntilTheNewOneSendsALine) {
  LoopbackRelay relay(3);
  auto session = relay.establish_session("1");
  relay.publish_endpoints(endpoint_changes(6, {}));
  TestSocket old_watch = std::exchange(relay.watch, TestSocket());
  relay.discovery.close();

  TestSocket next_discovery = TestSocket::listening();
  relay.discovery = TestSocket::listening();
  const int unused_port = relay.discovery.port();
  const std::string unreachable_discovery = relay.config_text(500);
  relay.discovery.close();
  relay.reload_config(unreachable_discovery);
  EXPECT_FALSE(old_watch.is_ended_by_peer()) << unused_port;

  relay.discovery = std::move(next_discovery);
  relay.reload_config(relay.config_text(500));
  EXPECT_NE(relay.accept_watch().find("after=6 "), std::string::npos);
  EXPECT_FALSE(old_watch.is_ended_by_peer());

  relay.publish_endpoints(endpoint_changes(7, {}));
  EXPECT_TRUE(relay.run_until([&] { return old_watch.is_ended_by_peer(); }));
  session.client.send("still there\r\n");
  EXPECT_TRUE(relay.run_until([&] { return session.upstream.received().ends_with("still there\r\n"); }));

  const std::size_t index = relay.backend_index(session.upstream);
  relay.publish_endpoints(endpoint_changes(8, {relay.endpoint(index, "leaving")}));
  EXPECT_TRUE(relay.run_until([&] { return session.client.received() == "UP r\r\nMOVE\r\n"; }));
}

TEST(Reload, KeepsTheConfigurationIfTheNewOneIsInvalid) {
  LoopbackRelay relay(1);
  std::string faulty = relay.config_text(500);
  faulty.replace(faulty.find("300.0"), 5, "\"x\"");

  ::testing::internal::CaptureStderr();
  relay.reload_config(faulty);
  relay.reload_config(faulty.substr(0, 90));
  const std::string log = ::testing::internal::GetCapturedStderr();

  EXPECT_NE(log.find("not reloaded: setting profiles.0.setup_goal"), std::string::npos) << log;
  EXPECT_NE(log.find("not reloaded: the configuration is not JSON"), std::string::npos) << log;
  relay.establish_session("1");
}

TEST(Reload, FollowsTheOldDiscoveryServerWhileTheNewOneAcceptsButSendsNothing) {
  LoopbackRelay relay(2);
  auto session = relay.establish_session("1");
  const std::size_t index = relay.backend_index(session.upstream);
  relay.publish_endpoints(endpoint_changes(5, {}));
  TestSocket old_watch = std::exchange(relay.watch, TestSocket());
  const TestSocket old_discovery = std::exchange(relay.discovery, TestSocket::listening());

  relay.reload_config(relay.config_text(500));
  relay.watch = relay.accept_from(relay.discovery);
  EXPECT_TRUE(relay.watch);
  relay.reload_config(relay.config_text(500));
  EXPECT_FALSE(relay.discovery.accept());  // two reloads within one second start one watch

  old_watch.send(http_chunk(std::string(511, ' ') + "\n"));
  old_watch.send(http_chunk(endpoint_changes(6, {relay.endpoint(index, "leaving")}) + "\n"));
  EXPECT_TRUE(relay.run_until([&] { return session.client.received() == "UP r\r\nMOVE\r\n"; }));
}

// Starts to follow a new discovery server, which accepts the request for the list and does not answer yet.
TestSocket reload_with_slow_discovery(LoopbackRelay& relay) {
  relay.discovery = TestSocket::listening();
  relay.reload_config(relay.config_text(500));
  relay.accept_watch();
  return std::exchange(relay.watch, TestSocket());
}

// Guards against a relay that learns nothing while new configurations come faster than discovery answers
// (review/9): a request that waits for its answer must outlast the next change of the address.
TEST(Reload, FollowsARequestThatIsAnsweredAfterTheNextReload) {
  LoopbackRelay relay(2);
  auto session = relay.establish_session("1");
  const std::size_t index = relay.backend_index(session.upstream);
  relay.publish_endpoints(endpoint_changes(5, {}));
  TestSocket first_watch = std::exchange(relay.watch, TestSocket());
  const TestSocket slow_watch = reload_with_slow_discovery(relay);
  const TestSocket unanswered_watch = reload_with_slow_discovery(relay);
  first_watch.close();
  relay.run_for(50);

  slow_watch.send(http_chunk(endpoint_changes(6, {relay.endpoint(index, "leaving")}) + "\n"));

  EXPECT_TRUE(relay.run_until([&] { return session.client.received() == "UP r\r\nMOVE\r\n"; }));
}

// Guards against a relay that hears an outdated discovery server for ever.
TEST(Reload, EndsOnlyTheWatchesOlderThanTheOneThatReceivesItsFirstLine) {
  LoopbackRelay relay(1);
  relay.publish_endpoints(endpoint_changes(5, {}));
  TestSocket first = std::exchange(relay.watch, TestSocket());
  TestSocket second = reload_with_slow_discovery(relay);
  TestSocket third = reload_with_slow_discovery(relay);
  TestSocket fourth = reload_with_slow_discovery(relay);

  third.send(http_chunk("\n"));

  EXPECT_TRUE(relay.run_until([&] { return first.is_ended_by_peer() && second.is_ended_by_peer(); }));
  EXPECT_FALSE(third.is_ended_by_peer());
  EXPECT_FALSE(fourth.is_ended_by_peer());
}

// Guards against descriptors that run out while configurations come at full speed, and against a limit that
// ends the oldest request, which would start the wait anew each time.
TEST(Reload, KeepsTheOldestOfManyUnansweredRequests) {
  LoopbackRelay relay(2);
  auto session = relay.establish_session("1");
  const std::size_t index = relay.backend_index(session.upstream);
  std::vector<TestSocket> watches;
  for (int i = 0; i < 30; ++i) watches.push_back(reload_with_slow_discovery(relay));
  const auto is_open = [](TestSocket& watch) { return !watch.is_ended_by_peer(); };
  EXPECT_LE(std::ranges::count_if(watches, is_open), 10);

  watches.front().send(http_chunk(endpoint_changes(6, {relay.endpoint(index, "leaving")}) + "\n"));

  EXPECT_TRUE(relay.run_until([&] { return session.client.received() == "UP r\r\nMOVE\r\n"; }));
}

TEST(Reload, AsksTheNewDiscoveryServerAtOnceAfterFailuresOfTheOldOne) {
  LoopbackRelay relay(2, 500,
                      R"(,"balancers":300,"discovery":"on_request","invariants":{"ask_within":20000})");
  auto session = relay.establish_session("1");
  const std::size_t index = relay.backend_index(session.upstream);
  TestSocket old_discovery = std::exchange(relay.discovery, TestSocket::listening());
  old_discovery.close();
  relay.run_for(50);

  relay.reload_config(relay.config_text(500));
  relay.publish_endpoints(endpoint_changes(5, {relay.endpoint(index, "leaving")}));

  EXPECT_TRUE(relay.run_until([&] { return session.client.received() == "UP r\r\nMOVE\r\n"; }, 500));
}

TEST(Reload, MuchLowerDescriptorLimitLeavesDescriptorsForClients) {
  LoopbackRelay relay(1);

  relay.reload_config(relay.config_text(20));

  relay.establish_session("1");
}

// The platform sends one signal for each new configuration file, so the relay itself has to retry.
TEST(Reload, RetriesAFileThatCannotBeReadAtTheSignal) {
#ifdef __SANITIZE_ADDRESS__
  GTEST_SKIP() << "the sanitizers need descriptors for their own checks and end the process without them";
#endif
  LoopbackRelay relay(1);
  const TemporaryFolder folder;
  std::ofstream(folder.file("config.json")) << relay.config_text(500);
  ::testing::internal::CaptureStderr();

  {
    const NoDescriptorsLeft none_left;
    relay.proxy->reload(folder.file("config.json"));
    relay.run_for(50);
  }
  relay.run_for(500);
  const std::string log = ::testing::internal::GetCapturedStderr();

  EXPECT_NE(log.find("configuration not reloaded"), std::string::npos) << log;
  EXPECT_NE(log.find("lifecycle configuration reloaded"), std::string::npos) << log;
}

}  // namespace
}  // namespace cherryrail::testing
