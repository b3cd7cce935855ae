// The relay on loopback sockets: one story for each thing that may go wrong between the ends.
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/resource.h>

#include <filesystem>

#include "protocol/http_response.hpp"
#include "protocol/open_request.hpp"
#include "support/loopback_relay.hpp"

namespace cherryrail::testing {
namespace {

const std::string kOpen = "OPEN 9b1f 7f3a c=talk,d=1200,g=5c,x=new\r\n";

TEST(Net, LinesPassBothWaysAndTheHeadIsChangedOnlyInItsWait) {
  LoopbackRelay relay(1);
  TestSocket here = relay.connect_client(kOpen);
  TestSocket there = relay.accept_attempt();
  const std::string head = there.received();
  EXPECT_TRUE(head.starts_with("OPEN 9b1f 7f3a c=talk,d=")) << head;
  EXPECT_TRUE(head.ends_with(",g=5c,x=new\r\n")) << head;
  there.send("UP 77 some receipt\r\n");
  ASSERT_TRUE(relay.run_until([&] { return here.received() == "UP 77 some receipt\r\n"; }));
  here.send("hello\r\n");
  EXPECT_TRUE(relay.run_until([&] { return there.received() == head + "hello\r\n"; }));
  there.send("LOAD 5\r\nBYE\r\n");
  there.close();
  EXPECT_TRUE(relay.run_until([&] { return here.is_ended_by_peer(); }));
  EXPECT_EQ(here.received(), "UP 77 some receipt\r\nLOAD 5\r\nBYE\r\n");
}

TEST(Net, TheFrontsPingIsAnsweredAndATornHeadIsReadWhole) {
  LoopbackRelay relay(1);
  TestSocket here = relay.connect_client("PI");
  relay.run_for(20);
  here.send("NG\r\nOPEN 9b1f 7f3a c=ta");
  EXPECT_TRUE(relay.run_until([&] { return here.received() == "PONG\r\n"; }));
  here.send("lk,d=1200\r\n");
  EXPECT_TRUE(relay.accept_attempt());
}

// A second thread that is held while it has a lock would hold the relay for good.
TEST(Net, SignalsAreTakenInOnTheRelaysOneThread) {
  LoopbackRelay relay(1);
  int told = 0;
  relay.event_loop.on_terminate([&] { ++told; });
  relay.event_loop.on_reload([&] { told += 10; });
  for (const int signal : {SIGTERM, SIGHUP, SIGINT}) std::raise(signal);
  EXPECT_TRUE(relay.run_until([&] { return told == 12; })) << told;
  const auto threads = std::filesystem::directory_iterator("/proc/self/task");
  EXPECT_EQ(std::distance(begin(threads), end(threads)), 1);
}

TEST(Net, ALineThatIsNotUnderstoodCostsOneConnection) {
  LoopbackRelay relay(1);
  for (const std::string& line : {std::string("GET / HTTP/1.1\r\n"), std::string("OPEN 1 2 c=none,d=5\r\n"),
                                  std::string("OPEN 1 2 c=talk,d=-1\r\n"), std::string(5000, 'x')}) {
    TestSocket here = relay.connect_client(line);
    EXPECT_TRUE(relay.run_until([&] { return here.is_ended_by_peer(); }));
    EXPECT_EQ(here.received(), "ERR\r\n");
  }
  relay.establish_session("8");
}

// Whoever is on call reads from the log why clients were declined.
TEST(Net, TheLogTellsWhyAClientWasDeclined) {
  LoopbackRelay relay(1);
  ::testing::internal::CaptureStderr();
  relay.publish_endpoints(R"({"rev":5,"all":false,"targets":[)" + relay.endpoint(0, "leaving") + "]}");
  relay.run_for(20);
  TestSocket nowhere = relay.connect_client("OPEN 1 1 c=talk,d=1200\r\n");
  EXPECT_TRUE(relay.run_until([&] { return nowhere.is_ended_by_peer(); }));
  relay.publish_endpoints(R"({"rev":6,"all":false,"targets":[)" + relay.endpoint(0, "active") + "]}");
  relay.run_for(20);
  TestSocket failed = relay.connect_client("OPEN 2 2 c=talk,d=1200\r\n");
  TestSocket there = relay.accept_attempt();
  there.send("BUSY\r\n");
  there.close();
  EXPECT_TRUE(relay.run_until([&] { return failed.is_ended_by_peer(); }));
  relay.proxy->begin_graceful_shutdown();
  relay.run_for(600);
  TestSocket late = relay.connect_client("OPEN 3 3 c=talk,d=1200\r\n");
  relay.run_until([&] { return late.is_ended_by_peer(); });
  const std::string log = ::testing::internal::GetCapturedStderr();
  for (const char* line :
       {"session=1 result=rejected reason=no_backend", "session=2 result=rejected reason=attempts_failed",
        "session=3 result=rejected reason=shutting_down"})
    EXPECT_NE(log.find(line), std::string::npos) << line << " in\n" << log;
}

// While discovery is down idle clients fill all there is. It comes back, and what it tells is heard; the next
// client that speaks is served by it. At the smallest limit that is allowed, at a quarter of the usual, and
// at that.
TEST(Net, IdleClientsFillTheDescriptorsWhileDiscoveryIsDown) {
  for (const std::size_t limit : {std::size_t{16}, std::size_t{256}, std::size_t{1024}}) {
    LoopbackRelay relay(1, limit, "", false);
    const int place = relay.discovery.port();
    relay.discovery.close();
    proxy::ProxyServer proxy(relay.event_loop, relay.relay_config);
    std::vector<TestSocket> idle;
    for (std::size_t i = 0; i < limit + 20; ++i) {
      idle.push_back(relay.connect_client(i % 3 == 0 ? "" : i % 3 == 1 ? "OPEN 77" : "PING\r\n"));
      if (i % 50 == 0) relay.event_loop.run_once();
    }
    relay.run_for(100);
    EXPECT_LE(relay.event_loop.watch_count() + 6, limit);  // and the loop's own
    relay.discovery = TestSocket::listening(place);
    // At its return it drains the one that was known, and names another.
    relay.backends.push_back(TestSocket::listening());
    relay.publish_endpoints(R"({"rev":5,"all":true,"targets":[)" + relay.endpoint(0, "leaving") + "," +
                            relay.endpoint(1, "active") + "]}");
    relay.run_for(50);
    TestSocket here = relay.connect_client("OPEN 1 1 c=talk,d=1200\r\n");
    TestSocket there = relay.accept_attempt();
    ASSERT_TRUE(there) << limit;
    EXPECT_EQ(relay.backend_index(there), 1u);
    there.send("UP r\r\n");
    EXPECT_TRUE(relay.run_until([&] { return here.received() == "UP r\r\n"; })) << limit;
    EXPECT_LE(relay.event_loop.watch_count() + 6, limit);
  }
}

// Connections that say nothing, or ask for a sign of life and stay, hold descriptors that others need.
TEST(Net, AFloodOfSilentConnectionsCostsNobodyItsTunnel) {
  LoopbackRelay relay(1, 60);
  std::vector<TestSocket> silent;
  for (int i = 0; i < 40; ++i) silent.push_back(relay.connect_client(i % 2 ? "PING\r\n" : ""));
  const auto open = relay.establish_session("1");
  for (int i = 0; i < 40; ++i) silent.push_back(relay.connect_client(i % 2 ? "PING\r\n" : "OP"));
  const auto another = relay.establish_session("2");
  EXPECT_TRUE(relay.run_until(
      [&] {
        return std::all_of(silent.begin(), silent.end(),
                           [](TestSocket& one) { return one.is_ended_by_peer(); });
      },
      3000));
}

// Sound clients on poor links write slowly: in a crowd they must not go before those that write nothing.
TEST(Net, ASlowWriterOutlivesACrowdThatNeverFinishesItsLine) {
  LoopbackRelay relay(1, 60);
  const std::string line = "OPEN 1 1 c=talk,d=1200\r\n";
  TestSocket slow = relay.connect_client(line.substr(0, 1));
  std::vector<TestSocket> crowd;
  for (std::size_t at = 1; at < line.size(); ++at) {
    for (int i = 0; i < 8; ++i) crowd.push_back(relay.connect_client(i % 2 ? "OPEN 2 2" : ""));
    relay.run_for(10);
    slow.send(line.substr(at, 1));
  }
  TestSocket there = relay.accept_attempt();
  there.send("UP r\r\n");
  EXPECT_TRUE(relay.run_until([&] { return slow.received() == "UP r\r\n"; }));
}

// It is still writing when its answer comes: a close on unread bytes would take the answer with it.
TEST(Net, AClientThatSendsWithoutEndStillReadsItsError) {
  LoopbackRelay relay(1);
  TestSocket here = relay.connect_client("OPEN ");
  std::size_t sent = 0;
  const std::string much(100000, 'k');
  EXPECT_TRUE(relay.run_until([&] { return (sent += here.send_some(much)) > 20'000'000; }, 3000));
  EXPECT_TRUE(relay.run_until([&] { return here.is_ended_by_peer(); }));
  EXPECT_EQ(here.received(), "ERR\r\n");
  EXPECT_TRUE(relay.run_until([&] { return here.send_some(much) > 0; }));  // and is not cut off
}

TEST(Net, TheIdOfAnothersTunnelIsRefusedBeforeAnyBackendHearsIt) {
  LoopbackRelay relay(2);
  auto [here, there] = relay.establish_session("77");
  TestSocket thief = relay.connect_client("OPEN 77 1 c=talk,d=1200\r\n");
  EXPECT_TRUE(relay.run_until([&] { return thief.is_ended_by_peer(); }));
  EXPECT_EQ(thief.received(), "ERR\r\n");
  for (const TestSocket& backend : relay.backends) EXPECT_FALSE(backend.accept());
  here.send("x\r\n");
  EXPECT_TRUE(relay.run_until([&] { return there.received().ends_with("x\r\n"); }));
}

TEST(Net, AClientThatDoesNotWaitForItsAnswerIsNotServed) {
  LoopbackRelay relay(1);
  std::string many;
  for (int i = 0; i < 300; ++i) many += "OPEN " + std::to_string(i) + " 1 c=talk,d=1200\r\n";
  TestSocket here = relay.connect_client(many);
  EXPECT_TRUE(relay.run_until([&] { return here.is_ended_by_peer(); }));
  EXPECT_EQ(here.received(), "ERR\r\n");
  EXPECT_FALSE(relay.backends[0].accept());
  TestSocket early = relay.connect_client("OPEN 700 1 c=talk,d=1200\r\n");
  TestSocket there = relay.accept_attempt();
  early.send("and now?\r\n");
  EXPECT_TRUE(relay.run_until([&] { return early.is_ended_by_peer() && there.is_ended_by_peer(); }));
  EXPECT_EQ(early.received(), "ERR\r\n");
}

// A backend that refuses, one that says BUSY, one that breaks: three setups, then one answer.
TEST(Net, AfterTheLastSetupTheClientHearsOnceThatItIsDeclined) {
  LoopbackRelay relay(4);
  relay.backends[2].close();
  TestSocket here = relay.connect_client(kOpen);
  int setups = 0;
  EXPECT_TRUE(relay.run_until([&] {
    for (const TestSocket& backend : relay.backends) {
      if (TestSocket there = backend ? backend.accept() : TestSocket()) {
        if (++setups % 2) there.send("BUSY\r\n");
        there.close();
      }
    }
    return here.is_ended_by_peer();
  }));
  EXPECT_EQ(here.received(), "BUSY\r\n");
  EXPECT_GE(setups, 2);
  EXPECT_LE(setups, 3);
}

TEST(Net, ABackendThatSaysNothingIsLeftForAnotherInTime) {
  LoopbackRelay relay(2);
  TestSocket here = relay.connect_client(kOpen);
  TestSocket mute = relay.accept_attempt();
  TestSocket there = relay.accept_attempt();
  EXPECT_TRUE(relay.run_until([&] { return mute.is_ended_by_peer(); }));
  there.send("UP 2\r\n");
  EXPECT_TRUE(relay.run_until([&] { return here.received() == "UP 2\r\n"; }));
}

// A relay that was held up reads what has come meanwhile before it counts the time.
TEST(Net, AnAnswerThatCameDuringAStallIsNoTimeout) {
  LoopbackRelay relay(1);
  TestSocket here = relay.connect_client(kOpen);
  TestSocket there = relay.accept_attempt();
  there.send("UP 3\r\n");
  poll(nullptr, 0, 400);
  EXPECT_TRUE(relay.run_until([&] { return here.received() == "UP 3\r\n"; }));
}

// No second setup while one is out, and none for a client that has gone.
TEST(Net, AClientThatLeavesEarlyTakesItsSetupWithIt) {
  LoopbackRelay relay(2);
  TestSocket here = relay.connect_client(kOpen);
  TestSocket there = relay.accept_attempt();
  here.finish_sending();
  EXPECT_TRUE(relay.run_until([&] { return here.is_ended_by_peer() && there.is_ended_by_peer(); }));
  EXPECT_EQ(here.received(), "ERR\r\n");  // it may still listen
  for (const TestSocket& backend : relay.backends) EXPECT_FALSE(backend.accept());
}

TEST(Net, EachSideEndsAsTheOtherDid) {
  LoopbackRelay relay(1);
  auto [here, there] = relay.establish_session("1");
  here.finish_sending();
  EXPECT_TRUE(relay.run_until([&] { return there.is_ended_by_peer(); }));
  there.send("BYE\r\n");
  there.close();
  EXPECT_TRUE(relay.run_until([&] { return here.is_ended_by_peer(); }));
  EXPECT_EQ(here.received(), "UP r\r\nBYE\r\n");
  auto [gone, left] = relay.establish_session("2");
  gone.reset();
  EXPECT_TRUE(relay.run_until([&] { return left.is_ended_by_peer(); }));
  auto [kept, dead] = relay.establish_session("3");
  dead.reset();
  EXPECT_TRUE(relay.run_until([&] { return kept.is_ended_by_peer(); }, 1000));
}

TEST(Net, MoveWaitsForTheEndOfTheLine) {
  LoopbackRelay relay(2);
  auto [here, there] = relay.establish_session("1");
  const std::size_t at = relay.backend_index(there);
  there.send("half a li");
  EXPECT_TRUE(
      relay.run_until([&] { return here.received().ends_with("half a li"); }));  // no line is held back
  relay.publish_endpoints(R"({"rev":5,"all":false,"targets":[)" + relay.endpoint(at, "leaving") + "]}");
  relay.run_for(50);
  there.send("ne\r\n");
  EXPECT_TRUE(relay.run_until([&] { return here.is_ended_by_peer() && there.is_ended_by_peer(); }));
  EXPECT_EQ(here.received(), "UP r\r\nhalf a line\r\nMOVE\r\n");
}

TEST(Net, ClientsOfASilentBackendAreMovedInTime) {
  LoopbackRelay relay(2);
  auto [here, there] = relay.establish_session("1");
  here.send("anyone?\r\n");
  EXPECT_TRUE(relay.run_until([&] { return here.is_ended_by_peer(); }, 1100));  // two setup goals, and a look
  EXPECT_EQ(here.received(), "UP r\r\nMOVE\r\n");
}

// Where a site tells message times and no loads, a LOAD line's figure is milliseconds.
TEST(Net, LateMessagesMoveSomeClientsAway) {
  LoopbackRelay relay(1, 500, R"(,"domain":{"tells_load":false,"tells_delay":true})");
  std::vector<std::pair<TestSocket, TestSocket>> open;
  for (int i = 0; i < 8; ++i) open.push_back(relay.establish_session(std::to_string(i)));
  open[0].second.send("LOAD 900.5\r\n");
  EXPECT_TRUE(relay.run_until([&] {
    return std::any_of(open.begin(), open.end(), [](auto& one) { return one.first.is_ended_by_peer(); });
  }));
}

// That lines come back does not show how laden a backend is.
TEST(Net, ABackendWhoseLinesComeBackIsStillProbed) {
  LoopbackRelay relay(1, 500, R"(,"permissions":{"max_setups":3,"connect_timeout":100,"probing":true})");
  auto [here, there] = relay.establish_session("1");
  TestSocket probe;
  const auto probed = [&] {
    here.send("x\r\n");
    there.send("x\r\n");
    if (!probe) probe = relay.backends[0].accept();
    return probe && probe.received() == "PING\r\n";
  };
  EXPECT_TRUE(relay.run_until(probed, 1500));
}

// A reader that takes nothing must not fill the relay's memory, nor hold others up.
TEST(Net, ASlowReaderHoldsItsBackendBackAndNobodyElse) {
  LoopbackRelay relay(1);
  TestSocket here = TestSocket::connected_to(relay.port, 4096);
  here.send("OPEN 1 1 c=talk,d=1200\r\n");
  TestSocket there = relay.accept_attempt();
  there.send("UP r\r\n");
  const std::string lines = std::string(998, 'x') + "\r\n";
  std::size_t taken = 0;
  relay.run_until([&] { return taken += there.send_some(lines), false; }, 50);
  const auto more = [&] {
    std::size_t some = 0;
    for (int i = 0; i < 100; ++i) some += there.send_some(lines);
    taken += some;
    return some == 0;
  };
  EXPECT_TRUE(relay.run_until(more, 5000));  // the kernel's buffers and the relay's share are full
  relay.establish_session("2");
  EXPECT_TRUE(relay.run_until([&] { return here.received().size() >= taken + 6; }, 5000));
}

TEST(Net, WithFewDescriptorsLeftClientsAreDeclinedAndTheRestGoesOn) {
  LoopbackRelay relay(1, 30);
  std::vector<std::pair<TestSocket, TestSocket>> open;
  TestSocket turned_away;
  for (int i = 0; i < 8 && !turned_away; ++i) {
    TestSocket here = relay.connect_client("OPEN " + std::to_string(i) + " 1 c=talk,d=1200\r\n");
    TestSocket there = relay.accept_attempt();
    if (!there) {
      turned_away = std::move(here);
      break;
    }
    there.send("UP r\r\n");
    open.emplace_back(std::move(here), std::move(there));
  }
  ASSERT_GE(open.size(), 1u);
  EXPECT_EQ(turned_away.received(), "BUSY\r\n");
  open[0].first.send("still there\r\n");
  EXPECT_TRUE(relay.run_until([&] { return open[0].second.received().ends_with("still there\r\n"); }));
}

// A setup for which this process has no descriptor was never sent: it speaks against no backend.
TEST(Net, AMissingDescriptorIsNoBackendsFailure) {
#ifdef __SANITIZE_ADDRESS__
  GTEST_SKIP() << "the sanitizers' own checks need descriptors and end the process without them";
#endif
  LoopbackRelay relay(2);
  TestSocket here = relay.connect_client("PING\r\n");
  ASSERT_TRUE(relay.run_until([&] { return here.received() == "PONG\r\n"; }));
  ::testing::internal::CaptureStderr();
  rlimit before{};
  getrlimit(RLIMIT_NOFILE, &before);
  const int lowest = dup(0);
  close(lowest);
  const rlimit none{static_cast<rlim_t>(lowest), before.rlim_max};
  setrlimit(RLIMIT_NOFILE, &none);
  here.send(kOpen);
  const bool answered = relay.run_until([&] { return here.received() == "PONG\r\nBUSY\r\n"; });
  setrlimit(RLIMIT_NOFILE, &before);
  const std::string log = ::testing::internal::GetCapturedStderr();
  EXPECT_TRUE(answered);
  EXPECT_NE(log.find("result=no_descriptors"), std::string::npos) << log;
  EXPECT_EQ(log.find("connect_failed"), std::string::npos) << log;
}

// Discovery that sends nonsense, or is down, leaves the old list in force and is asked again.
TEST(Net, AWatchThatCannotBeReadIsAskedForAgain) {
  LoopbackRelay relay(1);
  relay.publish_endpoints("{\"rev\":5,\"targets\":[{\"no\":\"uid\"}]}");
  EXPECT_TRUE(relay.run_until([&] { return relay.watch.is_ended_by_peer(); }));
  relay.establish_session("1");
  relay.watch = TestSocket();
  EXPECT_TRUE(relay.run_until([&] { return static_cast<bool>(relay.watch = relay.discovery.accept()); }));
  EXPECT_TRUE(relay.run_until([&] { return relay.watch.received().find("after=4 ") != std::string::npos; }));
}

// The file is replaced and SIGHUP sent: the process lives, tunnels stay, and of two places one is followed.
TEST(Net, AReloadKeepsTunnelsAndFollowsTheOldPlaceUntilTheNewOneSpeaks) {
  LoopbackRelay relay(3);
  auto [here, there] = relay.establish_session("1");
  relay.publish_endpoints(R"({"rev":6,"all":false,"targets":[]})");
  TestSocket former = std::exchange(relay.watch, TestSocket());
  relay.discovery.close();  // takes no new connection
  TestSocket down = TestSocket::listening(), next = TestSocket::listening();
  std::swap(relay.discovery, down);
  const int nowhere = relay.discovery.port();
  std::string to_nowhere = relay.config_text(500);
  relay.discovery.close();
  relay.reload_config(to_nowhere);
  EXPECT_FALSE(former.is_ended_by_peer()) << nowhere;  // the new place is down: the old one is followed
  relay.discovery = std::move(next);
  relay.reload_config(relay.config_text(500));
  EXPECT_NE(relay.accept_watch().find("after=6 "), std::string::npos);
  EXPECT_FALSE(former.is_ended_by_peer());
  relay.publish_endpoints(R"({"rev":7,"all":false,"targets":[]})");
  EXPECT_TRUE(relay.run_until([&] { return former.is_ended_by_peer(); }));
  here.send("still there\r\n");
  EXPECT_TRUE(relay.run_until([&] { return there.received().ends_with("still there\r\n"); }));
  const std::size_t at = relay.backend_index(there);
  relay.publish_endpoints(R"({"rev":8,"all":false,"targets":[)" + relay.endpoint(at, "leaving") + "]}");
  EXPECT_TRUE(relay.run_until([&] { return here.received() == "UP r\r\nMOVE\r\n"; }));
}

TEST(Net, ANewConfigurationThatCannotBeUsedLeavesTheOldInForce) {
  LoopbackRelay relay(1);
  std::string bad = relay.config_text(500);
  bad.replace(bad.find("300.0"), 5, "\"x\"");
  ::testing::internal::CaptureStderr();
  relay.reload_config(bad);
  relay.reload_config(bad.substr(0, 90));
  const std::string log = ::testing::internal::GetCapturedStderr();
  EXPECT_NE(log.find("not reloaded: setting profiles.0.setup_goal"), std::string::npos) << log;
  EXPECT_NE(log.find("not reloaded: the configuration is not JSON"), std::string::npos) << log;
  relay.establish_session("1");
}

// A place that lags would bring back what has gone; one that counts anew must be believed in the end.
TEST(Net, ALowerVersionIsTakenOnlyOnceItStays) {
  LoopbackRelay relay(2);
  auto [here, there] = relay.establish_session("1");
  const std::size_t at = relay.backend_index(there);
  const std::string lower = R"({"rev":2,"all":true,"targets":[)" + relay.endpoint(1 - at, "active") + "]}";
  relay.publish_endpoints(lower);
  EXPECT_TRUE(relay.run_until([&] { return relay.watch.is_ended_by_peer(); }));
  EXPECT_EQ(here.received(), "UP r\r\n");
  EXPECT_TRUE(relay.run_until(
      [&] {
        if (relay.watch.is_ended_by_peer()) {
          EXPECT_NE(relay.accept_watch().find("after=0 "), std::string::npos);
          relay.publish_endpoints(lower);
        }
        return here.received() == "UP r\r\nMOVE\r\n";
      },
      4000));
}

TEST(Net, ToldToEndItMovesEveryClientAndDeclinesThoseThatStillCome) {
  LoopbackRelay relay(2);
  std::vector<std::pair<TestSocket, TestSocket>> open;
  for (int i = 0; i < 12; ++i) open.push_back(relay.establish_session(std::to_string(i)));
  relay.event_loop.on_terminate([&] { relay.proxy->begin_graceful_shutdown(); });
  std::raise(SIGTERM);
  open.push_back(relay.establish_session("12"));  // one that still comes is served, and moved with the rest
  EXPECT_TRUE(relay.run_until([&] {
    return std::all_of(open.begin(), open.end(), [](auto& one) { return one.first.is_ended_by_peer(); });
  }));
  for (auto& [here, there] : open) EXPECT_EQ(here.received(), "UP r\r\nMOVE\r\n");
  TestSocket late = relay.connect_client(kOpen);
  EXPECT_TRUE(relay.run_until([&] { return late.is_ended_by_peer(); }));
  EXPECT_EQ(late.received(), "BUSY\r\n");
}

// Clients that stood before a restart are put back where they were.
TEST(Net, AStandingTunnelGoesBackToItsBackend) {
  LoopbackRelay relay(3);
  TestSocket here = relay.connect_client("OPEN 1 5 c=talk,d=20000,at=s-2\r\n");
  TestSocket there;
  EXPECT_TRUE(relay.run_until([&] { return static_cast<bool>(there = relay.backends[2].accept()); }));
  there.send("UP 9\r\n");
  EXPECT_TRUE(relay.run_until([&] { return here.received() == "UP 9\r\n"; }));
}

TEST(Parsers, AnHttpAnswerMayBeTornAnywhere) {
  const std::string_view whole =
      "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nX: y\r\n\r\n5\r\nab\ncd\r\n1;q=1\r\ne\r\n0\r\n\r\n";
  for (std::size_t step = 1; step < whole.size(); ++step) {
    protocol::HttpResponse answer;
    std::string body;
    for (std::size_t at = 0; at < whole.size(); at += step)
      answer.feed(whole.substr(at, step), [&](std::string_view part) { body += part; });
    EXPECT_EQ(body, "ab\ncde");
    EXPECT_EQ(answer.status(), 200);
    EXPECT_EQ(answer.state(), protocol::HttpResponse::State::complete);
  }
  for (const char* bad : {"SSH-2.0-x\r\n", "HTTP/1.1 200\r\nnonsense\r\n",
                          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"}) {
    protocol::HttpResponse answer;
    EXPECT_EQ(answer.feed(bad, [](std::string_view) {}), protocol::HttpResponse::State::malformed) << bad;
  }
}

TEST(Parsers, AFaultyConfigurationIsNamedByItsKey) {
  const std::string good = LoopbackRelay(1).config_text(500);
  const auto fault = [&](const std::string& from, const std::string& to) {
    std::string text = good;
    text.replace(text.find(from), from.size(), to);
    try {
      config::parse_relay_config(text);
    } catch (const config::ConfigError& bad) {
      return std::string(bad.what());
    }
    return std::string("none");
  };
  EXPECT_NE(fault("\"sockets\":500", "\"sockets\":\"many\"").find("limits.sockets"), std::string::npos);
  EXPECT_NE(fault("\"setup_goal\":300.0", "\"setup_goal\":\"soon\"").find("profiles.0.setup_goal"),
            std::string::npos);
  EXPECT_NE(fault("\"listen\":\"127", "\"listen\":\"here").find("listen"), std::string::npos);
  EXPECT_NE(fault("\"settings\"", "\"set\"").find("settings"), std::string::npos);
  EXPECT_NE(fault("{\"name\"", "{,").find("JSON"), std::string::npos);
}

}  // namespace
}  // namespace cherryrail::testing
