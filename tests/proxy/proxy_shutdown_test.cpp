// Graceful shutdown on SIGTERM: every client is answered or migrated before the platform kills the process.
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

// The platform kills the process 0.7 s after the longest client timeout, here 1.2 s.
constexpr Micros kKillTimeout = 1'900'000;

// Runs the relay from SIGTERM to its end, and returns the time that it took.
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

TEST(ProxyShutdown, MigratesEveryClientAndRejectsNewOnes) {
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

  TestSocket new_client = relay.connect_client("OPEN 9b1f 7f3a c=talk,d=1200,g=5c,x=new\r\n");
  EXPECT_TRUE(relay.run_until([&] { return new_client.is_ended_by_peer(); }));
  EXPECT_EQ(new_client.received(), "BUSY\r\n");
}

TEST(ProxyShutdown, AnswersClientsWithIncompleteRequests) {
  LoopbackRelay relay(1);
  TestSocket slow = relay.connect_client("OPEN 1 1 c=ta");
  TestSocket incomplete = relay.connect_client("OPEN 2 2 c");
  ASSERT_FALSE(relay.run_until([] { return false; }, 20));

  bool is_rest_sent = false;
  call_after(relay, 1200, [&] {
    EXPECT_EQ(slow.received(), "");  // a client might not read an answer that arrives while it still writes
    slow.send("lk,d=1200\r\n");
    is_rest_sent = true;
  });
  EXPECT_LT(terminate(relay), kKillTimeout);

  EXPECT_TRUE(is_rest_sent);
  EXPECT_EQ(slow.received(), "BUSY\r\n");
  EXPECT_EQ(incomplete.received(), "BUSY\r\n");
}

// Every client that could connect is answered, including the last.
TEST(ProxyShutdown, AnswersEveryClientInTheBacklog) {
  LoopbackRelay relay(1);
  std::vector<TestSocket> clients;
  std::size_t connected = 0;  // clients that connected, all before the listener was closed
  std::function<void()> connect = [&] {
    clients.push_back(TestSocket::connected_to(relay.port));
    const std::string request = "OPEN " + std::to_string(clients.size()) + " 1 c=talk,d=1200\r\n";
    connected += clients.back().send_some(request) == request.size() ? 1 : 0;
    call_after(relay, 1, connect);
  };

  call_after(relay, 500, connect);
  EXPECT_LT(terminate(relay), kKillTimeout);

  ASSERT_GT(connected, 50u);
  for (std::size_t i = 0; i < connected; ++i)
    EXPECT_EQ(clients[i].received(), "BUSY\r\n") << i << " of " << connected;
}

// The relay stops accepting about 730 ms after SIGTERM and ends 100 ms later. Clients that wait in the
// backlog because accept() fails for lack of system resources are answered in between.
TEST(ProxyShutdown, AnswersTheBacklogAfterAcceptFailedNearTheEnd) {
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
    EXPECT_LT(terminate(relay), kKillTimeout);

    ASSERT_EQ(clients.size(), 5u);
    for (TestSocket& client : clients) EXPECT_EQ(client.received(), "BUSY\r\n") << error;
  }
}

TEST(ProxyShutdown, AnswersEachClientWithAWholeLineDespiteShortWrites) {
  const FaultPlanScope scope;
  LoopbackRelay relay(1);
  std::vector<TestSocket> clients;
  for (const char* beginning : {"", "OPEN 1 1 c", "PING\r\n"})
    clients.push_back(relay.connect_client(beginning));
  relay.run_for(20);

  fault_plan().short_io_per_mille = 1000;
  EXPECT_LT(terminate(relay), kKillTimeout);

  EXPECT_EQ(clients[0].received(), "BUSY\r\n");
  EXPECT_EQ(clients[1].received(), "BUSY\r\n");
  EXPECT_EQ(clients[2].received(), "PONG\r\nBUSY\r\n");
}

TEST(ProxyShutdown, AnswersEachClientIfTheFirstWriteWouldBlock) {
  const FaultPlanScope scope;
  LoopbackRelay relay(1);
  TestSocket client = relay.connect_client("OPEN 1 1 c");
  relay.run_for(20);

  // After the discovery request was retried, and before the remaining clients are answered.
  call_after(relay, 1500, [] {
    fault_plan().send.error_number = EAGAIN;
    fault_plan().send.remaining = 1;
  });
  EXPECT_LT(terminate(relay), kKillTimeout);

  EXPECT_EQ(fault_plan().send.remaining, 0);
  EXPECT_EQ(client.received(), "BUSY\r\n");
}

// Clients may connect as soon as the process listens, and it may be terminated before it accepts them.
TEST(ProxyShutdown, AnswersClientsThatConnectedBeforeTheRelayAccepts) {
  LoopbackRelay relay(1, 500,
                      R"(,"discovery":"pushed","invariants":{"warm_up":9000,"fall":3000,
      "stop_sending_within":400})");
  TestSocket client = relay.connect_client("OPEN 1 1 c=talk,d=1200\r\n");

  EXPECT_LT(terminate(relay), kKillTimeout);

  EXPECT_EQ(client.received(), "BUSY\r\n");
}

TEST(ProxyShutdown, AnswersAClientWhoseAttemptHangs) {
  LoopbackRelay relay(1, 500,
                      R"(,"profiles":[{"name":"talk","setup_goal":4000.0,"client_timeout":1200.0,"payoff":1.0,
      "semantics":"idempotent"}])");
  TestSocket client = relay.connect_client("OPEN 1 1 c=talk,d=9000\r\n");
  TestSocket upstream = relay.accept_attempt();

  EXPECT_LT(terminate(relay), kKillTimeout);

  EXPECT_EQ(client.received(), "BUSY\r\n");
  EXPECT_TRUE(upstream.is_ended_by_peer());
}

// Blocks the event loop for 150 ms, 80 ms after the last clients were answered. The process ends 100 ms after
// that answer.
void block_loop_before_end(LoopbackRelay& relay, TestSocket& last_client) {
  call_after(relay, 5, [&] {
    if (last_client.is_ended_by_peer()) {
      call_after(relay, 80, [] { fault_plan().next_wait_delay_ms = 150; });
    } else {
      block_loop_before_end(relay, last_client);
    }
  });
}

TEST(ProxyShutdown, EndsBeforeTheKillTimeoutIfTheEventLoopIsBlockedNearTheEnd) {
  const FaultPlanScope scope;
  LoopbackRelay relay(1);
  TestSocket slow = relay.connect_client("OPEN 1 1 c");
  relay.run_for(20);

  block_loop_before_end(relay, slow);
  EXPECT_LT(terminate(relay), kKillTimeout);

  EXPECT_EQ(fault_plan().next_wait_delay_ms, 0);
}

TEST(ProxyShutdown, MigratesASessionThatIsRestoredDuringShutdown) {
  LoopbackRelay relay(1);
  TestSocket client = relay.connect_client("OPEN 1 5 c=talk,d=20000,at=s-0\r\n");
  TestSocket upstream = relay.accept_attempt();

  call_after(relay, 700, [&] { upstream.send("UP 9\r\n"); });
  EXPECT_LT(terminate(relay), kKillTimeout);

  EXPECT_EQ(client.received(), "UP 9\r\nMOVE\r\n");
}

// The backend has received the request, so a rejection, after which the client retries, could make it run
// twice.
TEST(ProxyShutdown, FailsAnAtMostOnceSessionWhoseRestoreIsPending) {
  LoopbackRelay relay(1, 500,
                      R"(,"profiles":[{"name":"talk","setup_goal":300.0,"client_timeout":1200.0,"payoff":1.0,
      "semantics":"at_most_once"}])");
  TestSocket client = relay.connect_client("OPEN 1 5 c=talk,d=20000,at=s-0\r\n");
  const TestSocket upstream = relay.accept_attempt();

  EXPECT_LT(terminate(relay), kKillTimeout);

  EXPECT_EQ(client.received(), "ERR\r\n");
}

TEST(ProxyShutdown, EndsInTimeWhileMigrationsWaitForTheEndOfALine) {
  LoopbackRelay relay(1);
  std::vector<EstablishedSession> sessions;
  for (int i = 0; i < 4; ++i) sessions.push_back(relay.establish_session(std::to_string(i)));
  for (const auto& session : sessions) session.upstream.send("half a li");

  call_after(relay, 1600, [&] {
    for (const auto& session : sessions) session.upstream.send_some("ne\r\n");
  });
  EXPECT_LT(terminate(relay), kKillTimeout);
}

// Guards against connections cut in the middle of a line, without MOVE, at the end of a shutdown.
TEST(ProxyShutdown, SendsMoveToClientsWhoseBackendIsInTheMiddleOfALine) {
  LoopbackRelay relay(1);
  std::vector<EstablishedSession> sessions;
  for (int i = 0; i < 4; ++i) sessions.push_back(relay.establish_session(std::to_string(i)));
  // The last lines begin after the sessions have been migrated but for these, or just before the end.
  for (int i = 0; i < 3; ++i) {
    call_after(relay, 500 * i, [&sessions, i] { sessions[i].upstream.send_some("a line\r\nhalf a li"); });
  }

  EXPECT_LT(terminate(relay), kKillTimeout);

  for (auto& session : sessions) EXPECT_TRUE(session.client.received().ends_with("\r\nMOVE\r\n"));
}

TEST(ProxyShutdown, RunsOnceAfterAReloadAndTwoSignals) {
  LoopbackRelay relay(2);
  auto session = relay.establish_session("1");
  call_after(relay, 300, [] { std::raise(SIGTERM); });

  relay.reload_config(relay.config_text(400));
  EXPECT_LT(terminate(relay), kKillTimeout);

  EXPECT_EQ(session.client.received(), "UP r\r\nMOVE\r\n");
}

}  // namespace
}  // namespace cherryrail::testing
