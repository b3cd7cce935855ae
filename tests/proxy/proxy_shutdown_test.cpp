// A relay told to terminate: every client is answered or migrated before the platform kills the process.
#include <gtest/gtest.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <functional>
#include <string>
#include <vector>

#include "support/fault_plan.hpp"
#include "support/loopback_relay.hpp"

namespace cherryrail::testing {
namespace {

// The platform kills the process 0.7 s after the longest that a client waits.
constexpr Micros kKilledAfter = 1'900'000;

// Runs the relay from SIGTERM to its end, and gives how long that took.
Micros terminate(LoopbackRelay& relay) {
  relay.event_loop.on_terminate([&] { relay.proxy->begin_graceful_shutdown(); });
  std::raise(SIGTERM);
  const Micros began_at = relay.event_loop.now();
  relay.event_loop.run();
  relay.proxy.reset();
  return relay.event_loop.now() - began_at;
}

void call_after(LoopbackRelay& relay, int milliseconds, std::function<void()> callback) {
  relay.event_loop.call_at(relay.event_loop.now() + milliseconds * Micros{1000}, std::move(callback));
}

TEST(ProxyShutdown, MigratesEveryClientAndRejectsThoseThatStillCome) {
  LoopbackRelay relay(2);
  std::vector<EstablishedSession> sessions;
  for (int i = 0; i < 12; ++i) sessions.push_back(relay.establish_session(std::to_string(i)));

  relay.event_loop.on_terminate([&] { relay.proxy->begin_graceful_shutdown(); });
  std::raise(SIGTERM);
  sessions.push_back(relay.establish_session("12"));  // still served, and migrated with the rest

  EXPECT_TRUE(relay.run_until([&] {
    return std::all_of(sessions.begin(), sessions.end(),
                       [](auto& session) { return session.client.is_ended_by_peer(); });
  }));
  for (auto& session : sessions) EXPECT_EQ(session.client.received(), "UP r\r\nMOVE\r\n");

  TestSocket late = relay.connect_client("OPEN 9b1f 7f3a c=talk,d=1200,g=5c,x=new\r\n");
  EXPECT_TRUE(relay.run_until([&] { return late.is_ended_by_peer(); }));
  EXPECT_EQ(late.received(), "BUSY\r\n");
}

TEST(ProxyShutdown, AnswersAClientWhoseRequestIsNotWhole) {
  LoopbackRelay relay(1);
  TestSocket slow = relay.connect_client("OPEN 1 1 c=ta");
  TestSocket never_whole = relay.connect_client("OPEN 2 2 c");
  ASSERT_FALSE(relay.run_until([] { return false; }, 20));

  bool has_sent_the_rest = false;
  call_after(relay, 1200, [&] {
    EXPECT_EQ(slow.received(), "");  // it might never read an answer that comes while it writes
    slow.send("lk,d=1200\r\n");
    has_sent_the_rest = true;
  });
  EXPECT_LT(terminate(relay), kKilledAfter);

  EXPECT_TRUE(has_sent_the_rest);
  EXPECT_EQ(slow.received(), "BUSY\r\n");
  EXPECT_EQ(never_whole.received(), "BUSY\r\n");
}

// A client that got a connection gets an answer, to the last one that did.
TEST(ProxyShutdown, AnswersEveryClientInTheBacklog) {
  LoopbackRelay relay(1);
  std::vector<TestSocket> clients;
  std::size_t connected = 0;  // the first so many; the listener is closed to the others
  std::function<void()> connect = [&] {
    clients.push_back(TestSocket::connected_to(relay.port));
    const std::string request = "OPEN " + std::to_string(clients.size()) + " 1 c=talk,d=1200\r\n";
    connected += clients.back().send_some(request) == request.size() ? 1 : 0;
    call_after(relay, 1, connect);
  };

  call_after(relay, 500, connect);
  EXPECT_LT(terminate(relay), kKilledAfter);

  ASSERT_GT(connected, 50u);
  for (std::size_t i = 0; i < connected; ++i)
    EXPECT_EQ(clients[i].received(), "BUSY\r\n") << i << " of " << connected;
}

// The relay stops accepting some 730 ms after SIGTERM and ends 100 ms later. Whoever waits in the backlog
// while the system has no descriptor left is answered in between.
TEST(ProxyShutdown, AnswersTheBacklogThoughAcceptFailsAtTheEnd) {
  for (const int error : {ENFILE, ENOBUFS}) {
    const FaultPlanScope scope;
    LoopbackRelay relay(1);
    std::vector<TestSocket> clients;

    call_after(relay, 600, [&] {
      fault_plan().accept.error_number = error;
      fault_plan().accept.per_mille = 1000;
      for (int i = 0; i < 5; ++i)
        clients.push_back(relay.connect_client("OPEN " + std::to_string(i) + " 1 c=talk,d=1200\r\n"));
    });
    call_after(relay, 770, [] { fault_plan().accept.error_number = 0; });
    EXPECT_LT(terminate(relay), kKilledAfter);

    ASSERT_EQ(clients.size(), 5u);
    for (TestSocket& client : clients) EXPECT_EQ(client.received(), "BUSY\r\n") << error;
  }
}

TEST(ProxyShutdown, AnswersEachClientWithAWholeLineThoughEachWriteTakesAPart) {
  const FaultPlanScope scope;
  LoopbackRelay relay(1);
  std::vector<TestSocket> clients;
  for (const char* beginning : {"", "OPEN 1 1 c", "PING\r\n"})
    clients.push_back(relay.connect_client(beginning));
  relay.run_for(20);

  fault_plan().short_io_per_mille = 1000;
  EXPECT_LT(terminate(relay), kKilledAfter);

  EXPECT_EQ(clients[0].received(), "BUSY\r\n");
  EXPECT_EQ(clients[1].received(), "BUSY\r\n");
  EXPECT_EQ(clients[2].received(), "PONG\r\nBUSY\r\n");
}

TEST(ProxyShutdown, AnswersEachClientThoughTheFirstWriteWouldBlock) {
  const FaultPlanScope scope;
  LoopbackRelay relay(1);
  TestSocket client = relay.connect_client("OPEN 1 1 c");
  relay.run_for(20);

  // After discovery was asked again, and before the clients that are left are answered.
  call_after(relay, 1500, [] {
    fault_plan().send.error_number = EAGAIN;
    fault_plan().send.remaining = 1;
  });
  EXPECT_LT(terminate(relay), kKilledAfter);

  EXPECT_EQ(fault_plan().send.remaining, 0);
  EXPECT_EQ(client.received(), "BUSY\r\n");
}

// A process that follows another has its clients from the first moment, and may be told to stop at once.
TEST(ProxyShutdown, AnswersClientsThatConnectedBeforeItAccepted) {
  LoopbackRelay relay(1, 500,
                      R"(,"discovery":"pushed","invariants":{"warm_up":9000,"fall":3000,
      "stop_sending_within":400})");
  TestSocket client = relay.connect_client("OPEN 1 1 c=talk,d=1200\r\n");

  EXPECT_LT(terminate(relay), kKilledAfter);

  EXPECT_EQ(client.received(), "BUSY\r\n");
}

TEST(ProxyShutdown, AnswersAClientWhoseAttemptHangs) {
  LoopbackRelay relay(1, 500,
                      R"(,"profiles":[{"name":"talk","setup_goal":4000.0,"client_timeout":1200.0,"payoff":1.0,
      "semantics":"idempotent"}])");
  TestSocket client = relay.connect_client("OPEN 1 1 c=talk,d=9000\r\n");
  TestSocket upstream = relay.accept_attempt();

  EXPECT_LT(terminate(relay), kKilledAfter);

  EXPECT_EQ(client.received(), "BUSY\r\n");
  EXPECT_TRUE(upstream.is_ended_by_peer());
}

// The last clients are answered 100 ms before the process ends.
void hold_up_before_the_end(LoopbackRelay& relay, TestSocket& last_client) {
  call_after(relay, 5, [&] {
    if (last_client.is_ended_by_peer()) {
      call_after(relay, 80, [] { fault_plan().next_wait_delay_ms = 150; });
    } else {
      hold_up_before_the_end(relay, last_client);
    }
  });
}

TEST(ProxyShutdown, EndsBeforeItIsKilledThoughItIsHeldUpAtTheEnd) {
  const FaultPlanScope scope;
  LoopbackRelay relay(1);
  TestSocket slow = relay.connect_client("OPEN 1 1 c");
  relay.run_for(20);

  hold_up_before_the_end(relay, slow);
  EXPECT_LT(terminate(relay), kKilledAfter);

  EXPECT_EQ(fault_plan().next_wait_delay_ms, 0);
}

TEST(ProxyShutdown, MigratesASessionThatIsRestoredMeanwhile) {
  LoopbackRelay relay(1);
  TestSocket client = relay.connect_client("OPEN 1 5 c=talk,d=20000,at=s-0\r\n");
  TestSocket upstream = relay.accept_attempt();

  call_after(relay, 700, [&] { upstream.send("UP 9\r\n"); });
  EXPECT_LT(terminate(relay), kKilledAfter);

  EXPECT_EQ(client.received(), "UP 9\r\nMOVE\r\n");
}

// Its backend has the request: to be told to come again could have it run twice.
TEST(ProxyShutdown, FailsASessionThatMayBeRestoredAndMustNotRunTwice) {
  LoopbackRelay relay(1, 500,
                      R"(,"profiles":[{"name":"talk","setup_goal":300.0,"client_timeout":1200.0,"payoff":1.0,
      "semantics":"at_most_once"}])");
  TestSocket client = relay.connect_client("OPEN 1 5 c=talk,d=20000,at=s-0\r\n");
  const TestSocket upstream = relay.accept_attempt();

  EXPECT_LT(terminate(relay), kKilledAfter);

  EXPECT_EQ(client.received(), "ERR\r\n");
}

TEST(ProxyShutdown, IsNotHeldUpByAMigrationThatWaitsForTheEndOfALine) {
  LoopbackRelay relay(1);
  std::vector<EstablishedSession> sessions;
  for (int i = 0; i < 4; ++i) sessions.push_back(relay.establish_session(std::to_string(i)));
  for (const auto& session : sessions) session.upstream.send("half a li");

  call_after(relay, 1600, [&] {
    for (const auto& session : sessions) session.upstream.send_some("ne\r\n");
  });
  EXPECT_LT(terminate(relay), kKilledAfter);
}

TEST(ProxyShutdown, HappensOnceWhenToldTwiceAndAfterAReload) {
  LoopbackRelay relay(2);
  auto session = relay.establish_session("1");
  call_after(relay, 300, [] { std::raise(SIGTERM); });

  relay.reload_config(relay.config_text(400));
  EXPECT_LT(terminate(relay), kKilledAfter);

  EXPECT_EQ(session.client.received(), "UP r\r\nMOVE\r\n");
}

}  // namespace
}  // namespace cherryrail::testing
