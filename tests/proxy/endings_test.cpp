// What is owed at the instant in which something ends: each crossing forced by the order of events.
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>

#include "support/balancer_fixture.hpp"
#include "support/loopback_relay.hpp"

namespace cherryrail::testing {
namespace {

const std::string kOpen = "OPEN 9b1f 7f3a c=talk,d=1200\r\n";
const std::string kNoCancel = R"(,"permissions":{"max_setups":3,"connect_timeout":100})";
const std::string kPushed =
    R"(,"discovery":"pushed","invariants":{"warm_up":9000,"fall":3000,"stop_sending_within":400})";
const std::string kPatient =
    R"(,"permissions":{"max_setups":3,"may_cancel":true,"connect_timeout":4000},"profiles":[{"name":"talk",
    "setup_goal":4000.0,"client_timeout":8000.0,"payoff":1.0,"semantics":"idempotent"}])";

// The next connection at any backend, taken at the instant in which the relay has asked for it: whether it is
// up the relay learns at its next turn.
TestSocket coming(LoopbackRelay& relay) {
  TestSocket there;
  relay.run_until([&] {
    for (const TestSocket& backend : relay.backends) {
      if (!there) there = backend.accept();
    }
    return static_cast<bool>(there);
  });
  return there;
}

// No byte of a setup at any backend.
bool untouched(LoopbackRelay& relay) {
  return std::none_of(relay.backends.begin(), relay.backends.end(), [](const TestSocket& backend) {
    TestSocket there = backend.accept();
    return there && !there.received().empty();
  });
}

// A connection that came up in vain.
void expect_not_sent(LoopbackRelay& relay, TestSocket& there) {
  EXPECT_TRUE(relay.run_until([&] { return there.is_ended_by_peer(); }));
  EXPECT_EQ(there.received(), "");
}

// ---- The client leaves while it waits -------------------------------------------------------------------

enum class Leaves { ends_sending, closes, resets };
class AClientThatLeaves : public ::testing::TestWithParam<Leaves> {
 protected:
  static void leave(TestSocket& here) {
    if (GetParam() == Leaves::ends_sending) here.finish_sending();
    if (GetParam() == Leaves::closes) here.close();
    if (GetParam() == Leaves::resets) here.reset();
  }
  // The protocol has it that it has ended, so it is told; only one that ended its sending alone can read it.
  static void expect_told(LoopbackRelay& relay, TestSocket& here) {
    if (GetParam() != Leaves::ends_sending) return;
    EXPECT_TRUE(relay.run_until([&] { return here.is_ended_by_peer(); }));
    EXPECT_EQ(here.received(), "ERR\r\n");
  }
};
INSTANTIATE_TEST_SUITE_P(Ways, AClientThatLeaves,
                         ::testing::Values(Leaves::ends_sending, Leaves::closes, Leaves::resets),
                         [](const auto& way) {
                           return way.param == Leaves::ends_sending ? "EndsSending"
                                  : way.param == Leaves::closes     ? "Closes"
                                                                    : "Resets";
                         });

TEST_P(AClientThatLeaves, RightBehindItsLineCostsNoConnection) {
  LoopbackRelay relay(2);
  TestSocket here = relay.connect_client(kOpen);
  leave(here);  // line and end lie there together before the relay looks
  relay.run_for(50);
  for (const TestSocket& backend : relay.backends) EXPECT_FALSE(backend.accept());
  expect_told(relay, here);
}

// Both lie ready at once, the connection first: the client's end must be looked for before the line goes.
TEST_P(AClientThatLeaves, WhileItsSetupComesUpIsNotSentOn) {
  LoopbackRelay relay(2);
  TestSocket here = relay.connect_client(kOpen);
  TestSocket there = coming(relay);
  leave(here);
  expect_not_sent(relay, there);
  EXPECT_TRUE(untouched(relay));
  expect_told(relay, here);
}

TEST_P(AClientThatLeaves, BetweenAFailedSetupAndTheNextIsNotSentOn) {
  LoopbackRelay relay(2);
  TestSocket here = relay.connect_client(kOpen);
  TestSocket first = relay.accept_attempt();
  first.send("BUSY\r\n");
  TestSocket next = coming(relay);
  leave(here);
  expect_not_sent(relay, next);
  expect_told(relay, here);
}

TEST_P(AClientThatLeaves, DuringAStallIsNotSentOn) {
  LoopbackRelay relay(2);
  TestSocket here = relay.connect_client(kOpen);
  TestSocket first = relay.accept_attempt();
  first.send("ERR\r\n");
  leave(here);
  poll(nullptr, 0, 50);
  relay.run_for(50);
  EXPECT_TRUE(untouched(relay));
}

TEST_P(AClientThatLeaves, TakesTheSetupUnderWayWithIt) {
  LoopbackRelay relay(2);
  TestSocket here = relay.connect_client(kOpen);
  TestSocket there = relay.accept_attempt();
  leave(here);
  EXPECT_TRUE(relay.run_until([&] { return there.is_ended_by_peer(); }, 200));  // before any time-out
  EXPECT_TRUE(untouched(relay));
}

// Where a site lets nothing be cancelled, what has gone out runs to its end, for nobody.
TEST_P(AClientThatLeaves, LeavesWhatHasGoneOutWhereNothingMayBeCancelled) {
  LoopbackRelay relay(2, 500, kNoCancel);
  TestSocket here = relay.connect_client(kOpen);
  TestSocket there = relay.accept_attempt();
  leave(here);
  relay.run_for(100);
  EXPECT_FALSE(there.is_ended_by_peer());
  EXPECT_TRUE(relay.run_until([&] { return there.is_ended_by_peer(); }));  // its time-out
  EXPECT_TRUE(untouched(relay));
}

// ---- What allowed a setup has ended before its first byte -----------------------------------------------

// A backend whose connections come up late: its listener is full until the story lets it go.
TEST(Endings, ABackendThatDrainsWhileAConnectionComesUpGetsNoSetupOnIt) {
  LoopbackRelay relay(2, 500, kPatient);
  relay.publish_endpoints(R"({"rev":5,"all":true,"targets":[)" + relay.endpoint(0, "active") + "]}");
  relay.run_for(20);
  ASSERT_EQ(listen(relay.backends[0].fd(), 0), 0);
  TestSocket filler = TestSocket::connected_to(relay.backends[0].port());
  TestSocket here = relay.connect_client("OPEN 1 1 c=talk,d=8000\r\n");
  relay.run_for(100);  // its connection is asked for in vain
  relay.publish_endpoints(R"({"rev":6,"all":false,"targets":[)" + relay.endpoint(0, "leaving") + "," +
                          relay.endpoint(1, "active") + "]}");
  relay.run_for(100);
  ASSERT_TRUE(relay.backends[0].accept());
  TestSocket late = coming(relay);  // asked again by the kernel, after a second
  expect_not_sent(relay, late);
  TestSocket there = relay.accept_attempt();
  EXPECT_EQ(relay.backend_index(there), 1u);
  there.send("UP 1\r\n");
  EXPECT_TRUE(relay.run_until([&] { return here.received() == "UP 1\r\n"; }));
}

TEST(Endings, WhereItStoodIsNoPlaceOnceThatLeaves) {
  LoopbackRelay relay(3);
  relay.publish_endpoints(R"({"rev":5,"all":false,"targets":[)" + relay.endpoint(2, "leaving") + "]}");
  relay.run_for(20);
  TestSocket here = relay.connect_client("OPEN 1 5 c=talk,d=20000,at=s-2\r\n");
  TestSocket there = relay.accept_attempt();
  EXPECT_NE(relay.backend_index(there), 2u);
  there.send("UP 9\r\n");
  EXPECT_TRUE(relay.run_until([&] { return here.received() == "UP 9\r\n"; }));
}

// The answer to a client must leave before the client does.
TEST(Endings, ASetupWhereItStoodEndsBeforeItsClientsTime) {
  LoopbackRelay relay(1);
  TestSocket here = relay.connect_client("OPEN 1 5 c=talk,d=500,at=s-0\r\n");
  TestSocket there = relay.accept_attempt();
  const std::string head = there.received();
  const int wait = std::stoi(head.substr(head.find("d=") + 2));
  EXPECT_LE(wait, 480);
  EXPECT_GE(wait, 300);
}

// ---- What a backend says ---------------------------------------------------------------------------------

// Spoilt answers: the client has one answer, from the next backend, and the spoiler's connection is closed.
TEST(Endings, ASpoiltAnswerCostsItsBackendTheSetupAndTheClientNothing) {
  for (const std::string& spoilt : {std::string("\r\n"), std::string("OK 1\r\n"), std::string(5000, 'x'),
                                    std::string("BUSY\r\nUP late\r\n"), std::string("ERR\r\nBUSY\r\n")}) {
    LoopbackRelay relay(2);
    TestSocket here = relay.connect_client(kOpen);
    TestSocket bad = relay.accept_attempt();
    bad.send(spoilt);
    TestSocket good = relay.accept_attempt();
    EXPECT_TRUE(relay.run_until([&] { return bad.is_ended_by_peer(); }));
    good.send("UP 1\r\n");
    EXPECT_TRUE(relay.run_until([&] { return here.received() == "UP 1\r\n"; }));
    EXPECT_TRUE(untouched(relay));
  }
}

// An answer that is there before the relay has written a byte.
TEST(Endings, AnAnswerBeforeTheLineIsTakenAsOne) {
  LoopbackRelay relay(1);
  TestSocket here = relay.connect_client(kOpen);
  TestSocket there = coming(relay);
  there.send("UP 1\r\nfirst\r\n");
  EXPECT_TRUE(relay.run_until([&] { return here.received() == "UP 1\r\nfirst\r\n"; }));
  here.send("x\r\n");
  EXPECT_TRUE(relay.run_until([&] { return there.received().ends_with("\r\nx\r\n"); }));
}

// It may have run: no second setup for what must not happen twice, however the first ended.
TEST(Endings, WhatMayHaveRunIsRepeatedForNoOnceOnlyTunnel) {
  const std::string once =
      R"(,"profiles":[{"name":"talk","setup_goal":100.0,"client_timeout":1200.0,"payoff":1.0,
      "semantics":"at_most_once"}])";
  for (const std::string& end : {std::string("ERR\r\n"), std::string("\r\n"), std::string("reset"),
                                 std::string("closed"), std::string("nothing")}) {
    LoopbackRelay relay(2, 500, once);
    TestSocket here = relay.connect_client(kOpen);
    TestSocket there = relay.accept_attempt();
    if (end == "reset")
      there.reset();
    else if (end == "closed")
      there.close();
    else if (end != "nothing")
      there.send(end);
    EXPECT_TRUE(relay.run_until([&] { return here.is_ended_by_peer(); })) << end;
    EXPECT_EQ(here.received(), "ERR\r\n") << end;
    EXPECT_TRUE(untouched(relay)) << end;
  }
}

// The last line and the end in one read, and a second answer some time after the first.
TEST(Endings, LastWordsInOneReadReachTheClientWhole) {
  LoopbackRelay relay(1);
  auto [here, there] = relay.establish_session("1");
  there.send("UP again\r\nline\r\nBYE\r\n");
  there.finish_sending();
  EXPECT_TRUE(relay.run_until([&] { return here.is_ended_by_peer(); }));
  EXPECT_EQ(here.received(), "UP r\r\nUP again\r\nline\r\nBYE\r\n");
}

// ---- The list -------------------------------------------------------------------------------------------

// What a silent watch misses counts as told six seconds after its last word, on 300 relays as on one.
TEST(Endings, AWatchThatFellSilentIsAskedForAnewWithinTheTimeThatIsLeft) {
  LoopbackRelay relay(1, 500, R"(,"balancers":300,"discovery":"on_request",
      "invariants":{"warm_up":9000,"fall":3000,"ask_within":20000})");
  relay.publish_endpoints(R"({"rev":5,"all":false,"targets":[]})");
  relay.run_for(20);
  const Micros last_word = relay.event_loop.now();
  EXPECT_TRUE(relay.run_until([&] { return relay.watch.is_ended_by_peer(); }, 3500));
  TestSocket again;
  EXPECT_TRUE(relay.run_until([&] { return static_cast<bool>(again = relay.discovery.accept()); }, 2500));
  EXPECT_LT(relay.event_loop.now() - last_word, 5500 * kMillisecond);
}

// A call that hangs while discovery comes back, again and again: given up, waited and asked anew within the
// six seconds each time, with two left for the answer.
TEST(Endings, ACallThatHangsIsMadeAnewInTimeHoweverOftenThatWasInVain) {
  LoopbackRelay relay(1, 500, R"(,"balancers":350,"discovery":"on_request",
      "invariants":{"warm_up":9000,"fall":3000,"ask_within":20000})");
  TestSocket hanging;
  ASSERT_TRUE(relay.run_until([&] { return static_cast<bool>(hanging = relay.discovery.accept()); }));
  for (int round = 0; round < 3; ++round) {
    const Micros made = relay.event_loop.now();
    TestSocket again;
    EXPECT_TRUE(relay.run_until([&] { return static_cast<bool>(again = relay.discovery.accept()); }, 5500))
        << round;
    EXPECT_LE(relay.event_loop.now() - made, 5200 * kMillisecond);
    EXPECT_TRUE(hanging.is_ended_by_peer());
    hanging = std::move(again);
  }
}

// Nine in ten that start anew have to be ready within ten seconds; this one is within two, whatever discovery
// does.
TEST(Endings, AProcessIsReadyWhereDiscoveryIsDownOverbookedOrHangs) {
  for (const std::string& more : {kPushed, std::string(R"(,"balancers":350,"discovery":"on_request")")}) {
    for (const char* says : {"nothing", "refuses", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"}) {
      LoopbackRelay relay(1, 500, more, false);
      if (says[0] == 'r') relay.discovery.close();
      proxy::ProxyServer proxy(relay.event_loop, relay.relay_config);
      TestSocket front = relay.connect_client("PING\r\n");
      std::vector<TestSocket> calls;
      EXPECT_TRUE(relay.run_until([&] {
        if (TestSocket call = says[0] == 'r' ? TestSocket() : relay.discovery.accept()) {
          if (says[0] == 'H') call.send(says);
          calls.push_back(std::move(call));
        }
        return front.received() == "PONG\r\n";
      })) << says;
    }
  }
}

// From the first moment of a process: what it knew may be old, and all its backends may be on their way out.
TEST(Endings, WhereListsArePushedNobodyIsSentOnByAnOldOneAtTheStart) {
  LoopbackRelay relay(3, 500, kPushed);
  std::vector<TestSocket> here;
  for (int i = 0; i < 6; ++i)
    here.push_back(relay.connect_client("OPEN " + std::to_string(i) + " 1 c=talk,d=1200\r\n"));
  relay.publish_endpoints(R"({"rev":5,"all":false,"targets":[)" + relay.endpoint(0, "leaving") + "," +
                          relay.endpoint(1, "leaving") + "]}");
  std::vector<TestSocket> there;
  EXPECT_TRUE(relay.run_until([&] {
    if (TestSocket one = relay.backends[2].accept()) there.push_back(std::move(one));
    return there.size() == 6;
  }));
  EXPECT_FALSE(relay.backends[0].accept());
  EXPECT_FALSE(relay.backends[1].accept());
}

// But nobody waits for an agent that is down.
TEST(Endings, WhereListsArePushedAndNoneComesTheRelayServesByWhatItKnows) {
  LoopbackRelay relay(1, 500, kPushed);
  relay.establish_session("1");
}

// A list that never comes, and then comes very late.
TEST(Endings, WithNoListAtAllAClientIsAnsweredAtOnceAndServedOnceOneComes) {
  LoopbackRelay relay(1, 500, "", false);
  std::string text = relay.config_text(500);
  text.replace(text.find(relay.endpoint(0, "active")), relay.endpoint(0, "active").size(), "");
  relay.relay_config = config::parse_relay_config(text);
  relay.proxy = std::make_unique<proxy::ProxyServer>(relay.event_loop, relay.relay_config);
  TestSocket here = relay.connect_client(kOpen);
  EXPECT_TRUE(relay.run_until([&] { return here.is_ended_by_peer(); }, 100));
  EXPECT_EQ(here.received(), "BUSY\r\n");
  relay.publish_endpoints(R"({"rev":5,"all":true,"targets":[)" + relay.endpoint(0, "active") + "]}");
  relay.run_for(20);
  relay.establish_session("2");
}

TEST(Endings, AnUnusableNumberOfRelaysEndsTheStartNamingItsKey) {
  for (const char* count : {"0", "-3", "1e9", "\"many\""}) {
    try {
      config::parse_relay_config(
          LoopbackRelay(1, 500, "", false).config_text(500, std::string(",\"balancers\":") + count));
      ADD_FAILURE() << count;
    } catch (const config::ConfigError& bad) {
      EXPECT_NE(std::string(bad.what()).find("balancers"), std::string::npos) << bad.what();
    }
  }
  LoopbackRelay one(1, 500, R"(,"balancers":1)"), most(1, 500, R"(,"balancers":65535)");
  one.establish_session("1");
  most.establish_session("1");
}

TEST(Endings, ACallThatBringsNoFirstLineIsMadeAgain) {
  LoopbackRelay relay(1, 500, kPushed);
  TestSocket first, again;
  EXPECT_TRUE(relay.run_until([&] { return static_cast<bool>(first = relay.discovery.accept()); }));
  EXPECT_TRUE(relay.run_until([&] { return static_cast<bool>(again = relay.discovery.accept()); }, 1800));
  EXPECT_TRUE(first.is_ended_by_peer());
}

TEST(Endings, AListMayComeIndentedAndSplitAtAnyByte) {
  LoopbackRelay relay(2);
  auto [here, there] = relay.establish_session("1");
  const std::size_t at = relay.backend_index(there);
  std::string text =
      R"(  { "rev" : 5,  "all":false,	"targets" : [ )" + relay.endpoint(at, "leaving") + " ] }\n";
  relay.accept_watch();
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
  for (const char byte : size + text + "\r\n") {
    relay.watch.send({&byte, 1});
    relay.event_loop.run_once();
  }
  EXPECT_TRUE(relay.run_until([&] { return here.received() == "UP r\r\nMOVE\r\n"; }));
}

// ---- A new configuration --------------------------------------------------------------------------------

// It takes the connection and says nothing: the old place must be heard until it speaks.
TEST(Endings, TheOldPlaceIsHeardWhileTheNewOneTakesTheCallAndNeverSpeaks) {
  LoopbackRelay relay(2);
  auto [here, there] = relay.establish_session("1");
  const std::size_t at = relay.backend_index(there);
  relay.publish_endpoints(R"({"rev":5,"all":false,"targets":[]})");
  TestSocket former = std::exchange(relay.watch, TestSocket()),
             old = std::exchange(relay.discovery, TestSocket::listening());
  relay.reload_config(relay.config_text(500));
  EXPECT_TRUE(relay.run_until([&] { return static_cast<bool>(relay.watch = relay.discovery.accept()); }));
  relay.reload_config(relay.config_text(500));  // twice within a second: one call
  EXPECT_FALSE(relay.discovery.accept());
  former.send("200\r\n" + std::string(511, ' ') + "\n\r\n");
  const std::string list = R"({"rev":6,"all":false,"targets":[)" + relay.endpoint(at, "leaving") + "]}\n";
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", list.size());
  former.send(size + list + "\r\n");
  EXPECT_TRUE(relay.run_until([&] { return here.received() == "UP r\r\nMOVE\r\n"; }));
}

// What the new place tells at once is taken at once, though the old one's last calls had failed.
TEST(Endings, TheNewPlaceIsAskedAtOnceHoweverOftenTheOldOneFailed) {
  LoopbackRelay relay(2, 500,
                      R"(,"balancers":300,"discovery":"on_request","invariants":{"ask_within":20000})");
  auto [here, there] = relay.establish_session("1");
  const std::size_t at = relay.backend_index(there);
  TestSocket down = std::exchange(relay.discovery, TestSocket::listening());
  down.close();
  relay.run_for(50);
  relay.reload_config(relay.config_text(500));
  relay.publish_endpoints(R"({"rev":5,"all":false,"targets":[)" + relay.endpoint(at, "leaving") + "]}");
  EXPECT_TRUE(relay.run_until([&] { return here.received() == "UP r\r\nMOVE\r\n"; }, 500));
}

// ---- The process ends -----------------------------------------------------------------------------------

// Runs the relay to its end, and gives how long that took from SIGTERM on.
Micros told_to_end(LoopbackRelay& relay) {
  relay.event_loop.on_terminate([&] { relay.proxy->begin_graceful_shutdown(); });
  std::raise(SIGTERM);
  const Micros from = relay.event_loop.now();
  relay.event_loop.run();
  relay.proxy.reset();
  return relay.event_loop.now() - from;
}

// The platform kills it 0.7 s after the longest that a client waits.
constexpr Micros kKilledAfter = 1900 * kMillisecond;

TEST(Endings, AClientInTheMidstOfItsFirstLineIsAnsweredBeforeTheEnd) {
  LoopbackRelay relay(1);
  TestSocket slow = relay.connect_client("OPEN 1 1 c=ta"), never = relay.connect_client("OPEN 2 2 c");
  ASSERT_FALSE(relay.run_until([] { return false; }, 20));
  bool finished = false;
  relay.event_loop.call_at(relay.event_loop.now() + 1200 * kMillisecond, [&] {
    EXPECT_EQ(slow.received(), "");  // an answer in the midst of its line might never be read
    slow.send("lk,d=1200\r\n");
    finished = true;
  });
  EXPECT_LT(told_to_end(relay), kKilledAfter);
  EXPECT_TRUE(finished);
  EXPECT_EQ(slow.received(), "BUSY\r\n");
  EXPECT_EQ(never.received(), "BUSY\r\n");
}

// Whoever got a connection has an answer, to the last one that did.
TEST(Endings, NobodyInTheBacklogIsCutOffAtTheEnd) {
  LoopbackRelay relay(1);
  std::vector<TestSocket> all;
  std::size_t taken = 0;  // the first so many: then the door is shut
  std::function<void()> come = [&] {
    all.push_back(TestSocket::connected_to(relay.port));
    const std::string line = "OPEN " + std::to_string(all.size()) + " 1 c=talk,d=1200\r\n";
    taken += all.back().send_some(line) == line.size();
    relay.event_loop.call_at(relay.event_loop.now() + kMillisecond, come);
  };
  relay.event_loop.call_at(relay.event_loop.now() + 500 * kMillisecond, come);
  EXPECT_LT(told_to_end(relay), kKilledAfter);
  ASSERT_GT(taken, 50u);
  for (std::size_t i = 0; i < taken; ++i) EXPECT_EQ(all[i].received(), "BUSY\r\n") << i << " of " << taken;
}

TEST(Endings, ASetupThatHangsAsTheRelayEndsIsAnsweredBeforeTheEnd) {
  LoopbackRelay relay(1, 500,
                      R"(,"profiles":[{"name":"talk","setup_goal":4000.0,"client_timeout":1200.0,"payoff":1.0,
      "semantics":"idempotent"}])");
  TestSocket here = relay.connect_client("OPEN 1 1 c=talk,d=9000\r\n");
  TestSocket there = relay.accept_attempt();
  EXPECT_LT(told_to_end(relay), kKilledAfter);
  EXPECT_EQ(here.received(), "BUSY\r\n");
  EXPECT_TRUE(there.is_ended_by_peer());
}

// What comes up at the place where it stood while the relay ends is moved like the rest.
TEST(Endings, ATunnelThatIsPutBackWhileTheRelayEndsIsMoved) {
  LoopbackRelay relay(1);
  TestSocket here = relay.connect_client("OPEN 1 5 c=talk,d=20000,at=s-0\r\n");
  TestSocket there = relay.accept_attempt();
  relay.event_loop.call_at(relay.event_loop.now() + 700 * kMillisecond, [&] { there.send("UP 9\r\n"); });
  EXPECT_LT(told_to_end(relay), kKilledAfter);
  EXPECT_EQ(here.received(), "UP 9\r\nMOVE\r\n");
}

TEST(Endings, AMoveThatWaitsForATornLineDoesNotHoldTheEndUp) {
  LoopbackRelay relay(1);
  std::vector<std::pair<TestSocket, TestSocket>> open;
  for (int i = 0; i < 4; ++i) open.push_back(relay.establish_session(std::to_string(i)));
  for (auto& [here, there] : open) there.send("half a li");
  relay.event_loop.call_at(relay.event_loop.now() + 1600 * kMillisecond, [&] {
    for (auto& [here, there] : open) there.send_some("ne\r\n");
  });
  EXPECT_LT(told_to_end(relay), kKilledAfter);
}

TEST(Endings, ToldToEndTwiceAndWithANewConfigurationItEndsOnce) {
  LoopbackRelay relay(2);
  auto [here, there] = relay.establish_session("1");
  relay.event_loop.call_at(relay.event_loop.now() + 300 * kMillisecond, [] { std::raise(SIGTERM); });
  relay.reload_config(relay.config_text(400));
  EXPECT_LT(told_to_end(relay), kKilledAfter);
  EXPECT_EQ(here.received(), "UP r\r\nMOVE\r\n");
}

// ---- Settings of other sites ----------------------------------------------------------------------------

TEST(Endings, SettingsWithOtherNamesCountsAndGapsAreReadTheSameWay) {
  const auto start = config::parse_relay_config(
      R"({"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","settings":{"discovery":"pushed","zones":["n","m","s"],
      "balancers":6,"invariants":{"stop_sending_within":100,"resend_span":4000,"budget_free":2,"extra_per_request":0.12},
      "tenants":[{"name":"one"},{"name":"two"}],"domain":{"tenant_quota_connections":[10,20]},"profiles":[
      {"name":"position","client_timeout":900,"setup_goal":250},
      {"name":"order","client_timeout":900,"setup_goal":250,"semantics":"deduplicated","key_scope":"cell","window":2500,"payoff":6},
      {"name":"voucher","client_timeout":1000,"setup_goal":300,"semantics":"at_most_once","payoff":4},
      {"name":"notice","client_timeout":1000,"setup_goal":300,"semantics":"deduplicated","key_scope":"zone","window":3000}]}})");
  const BalancerConfig& config = start.settings.config;
  ASSERT_EQ(config.traffic_classes.size(), 4u);
  EXPECT_EQ(config.traffic_classes[1].deduplication_scope, DeduplicationScope::cell);
  EXPECT_EQ(config.traffic_classes[2].idempotency, Idempotency::non_idempotent);
  EXPECT_EQ(config.traffic_classes[3].deduplication_window, 3 * kSecond);
  EXPECT_EQ(config.tenant_shares, (std::vector<double>{10, 20}));
  EXPECT_EQ(config.retry_budget_window, 4 * kSecond);
  EXPECT_TRUE(start.is_list_pushed);
  EXPECT_EQ(config.endpoint_retry_delay, 50 * kMillisecond);
  EXPECT_FALSE(config.may_cancel_attempts || config.may_send_retry_after || config.may_check_health);
  const auto bare = config::parse_relay_config(
      R"({"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","settings":{"discovery":"on_request",
      "profiles":[{"name":"reading"}]}})");
  EXPECT_FALSE(bare.is_list_pushed);
  EXPECT_EQ(bare.settings.config.endpoint_retry_delay, 0);
  EXPECT_EQ(bare.settings.config.max_attempts, 1u);
}

}  // namespace
}  // namespace cherryrail::testing
