// The clients of a relay during a hot restart.
#include <gtest/gtest.h>
#include <unistd.h>

#include <cerrno>
#include <string>
#include <utility>

#include "support/fault_plan.hpp"
#include "support/restarting_relay.hpp"

namespace cherryrail::testing {
namespace {

TEST(SessionHandover, EstablishedSessionsContinueInTheSuccessor) {
  RestartingRelay relay(2);
  auto session = relay.establish_session("1");
  auto mid_line = relay.establish_session("2");
  mid_line.upstream.send("a line\r\nhalf a li");
  ASSERT_TRUE(relay.run_until([&] { return mid_line.client.received().ends_with("a line\r\n"); }));

  relay.replace();
  relay.run_for(60);
  EXPECT_FALSE(relay.first->has_nothing_to_hand_over());
  mid_line.upstream.send("ne\r\n");
  relay.run_for(60);
  EXPECT_TRUE(relay.first->has_nothing_to_hand_over());

  session.client.send("to you\r\n");
  session.upstream.send("to you, too\r\n");
  EXPECT_TRUE(relay.run_until([&] { return session.upstream.received().ends_with("to you\r\n"); }));
  EXPECT_TRUE(relay.run_until([&] { return session.client.received() == "UP r\r\nto you, too\r\n"; }));

  mid_line.upstream.send("BYE\r\n");
  mid_line.upstream.close();
  EXPECT_TRUE(relay.run_until([&] { return mid_line.client.is_ended_by_peer(); }));
  EXPECT_EQ(mid_line.client.received(), "UP r\r\na line\r\nhalf a line\r\nBYE\r\n");

  TestSocket other = relay.connect_client("OPEN 1 1 c=talk,d=1200\r\n");
  // The successor knows that the session id is in use.
  EXPECT_TRUE(relay.run_until([&] { return other.received() == "ERR\r\n"; }));
}

// Clients of the first process that have sent nothing, sent an incomplete request or wait for their answer.
TEST(SessionHandover, ClientsWithoutAnEstablishedSessionAreServed) {
  RestartingRelay relay(1);
  TestSocket slow = relay.connect_client("OPEN 5 5 c=ta");
  const TestSocket silent = relay.connect_client("");
  TestSocket waiting = relay.connect_client("OPEN 6 6 c=talk,d=1200\r\n");
  TestSocket waiting_upstream = relay.accept_attempt();
  relay.run_for(30);

  relay.replace();
  relay.run_for(60);
  slow.send("lk,d=1200\r\n");
  TestSocket slow_upstream = relay.accept_attempt();
  slow_upstream.send("UP 5\r\n");
  EXPECT_TRUE(relay.run_until([&] { return slow.received() == "UP 5\r\n"; }));

  waiting_upstream.send("UP 6\r\n");
  EXPECT_TRUE(relay.run_until([&] { return waiting.received() == "UP 6\r\n"; }));
  relay.run_for(60);
  EXPECT_TRUE(relay.first->has_nothing_to_hand_over());
  waiting.send("still\r\n");
  EXPECT_TRUE(relay.run_until([&] { return waiting_upstream.received().ends_with("still\r\n"); }));

  silent.send("OPEN 7 7 c=talk,d=1200\r\n");
  EXPECT_TRUE(relay.accept_attempt());
}

// Sessions that were not handed over before the successor died are migrated, not lost.
TEST(SessionHandover, MigratesTheRemainingSessionsIfTheSuccessorDies) {
  RestartingRelay relay(1);
  auto session = relay.establish_session("1");
  session.upstream.send("a line\r\nhalf a li");
  ASSERT_TRUE(relay.run_until([&] { return session.client.received().ends_with("a line\r\n"); }));

  relay.replace();
  relay.second->admin_services.reset();
  session.upstream.send("ne\r\n");

  EXPECT_TRUE(relay.run_until([&] { return session.client.is_ended_by_peer(); }, 1000));
  EXPECT_EQ(session.client.received(), "UP r\r\na line\r\nhalf a line\r\nMOVE\r\n");
}

// Guards against clients without an answer at a replacement: a class may wait longer (4.8 s) than the
// platform waits before it kills the first process (3.7 s). The process must allow for being held up for 0.15
// s.
TEST(SessionHandover, AnswersAndMigratesWhatIsLeftBeforeTheFirstProcessIsKilled) {
  constexpr Micros kKillTimeout = 3'700'000;
  constexpr Micros kMaxDelay = 150'000;
  RestartingRelay relay(
      2, false,
      R"(,"profiles":[{"name":"talk","setup_goal":4800.0,"client_timeout":4800.0,"payoff":1.0,
      "semantics":"idempotent"}])");
  auto mid_line = relay.establish_session("1");
  mid_line.upstream.send("half a li");
  TestSocket waiting = relay.connect_client("OPEN 2 2 c=talk,d=4800\r\n");
  const TestSocket hanging_upstream = relay.accept_attempt();
  TestSocket restoring = relay.connect_client("OPEN 3 3 c=talk,d=40000,at=s-0\r\n");
  const TestSocket hanging_restore = relay.accept_attempt();

  const Micros began_at = relay.event_loop.now();
  relay.replace();
  relay.event_loop.run();  // until the first process stops

  EXPECT_LT(relay.event_loop.now() - began_at, kKillTimeout - kMaxDelay);
  EXPECT_EQ(waiting.received(), "BUSY\r\n");
  EXPECT_EQ(restoring.received(), "BUSY\r\n");
  EXPECT_EQ(mid_line.client.received(), "UP r\r\nMOVE\r\n");
}

// A client may take longer to write a line than a restart takes.
TEST(SessionHandover, ContinuesASessionInTheMiddleOfTheClientsLine) {
  RestartingRelay relay(1);
  auto session = relay.establish_session("1");
  session.client.send("half a li");
  relay.run_for(20);

  relay.replace();
  relay.run_for(60);
  EXPECT_TRUE(relay.first->has_nothing_to_hand_over());
  session.client.send("ne\r\n");

  EXPECT_TRUE(relay.run_until([&] { return session.upstream.received().ends_with("half a line\r\n"); }));
}

TEST(SessionHandover, MigratesTheSessionsWithoutASuccessor) {
  RestartingRelay relay(1);
  auto session = relay.establish_session("1");

  relay.first->admin_services->shut_down();
  auto new_session = relay.establish_session("2");  // new clients are still served for a short time

  EXPECT_TRUE(relay.run_until(
      [&] { return session.client.is_ended_by_peer() && new_session.client.is_ended_by_peer(); }));
  EXPECT_EQ(session.client.received(), "UP r\r\nMOVE\r\n");
}

// Guards against an id that runs twice (issue 61): its client left the first process, and it comes again at
// the successor.
TEST(SessionHandover, SuccessorRefusesTheIdOfAClientThatLeftTheFirstProcess) {
  RestartingRelay relay(2);
  TestSocket client = relay.connect_client("OPEN 9 9 c=talk,d=1200\r\n");
  const TestSocket upstream = relay.accept_attempt();
  client.close();
  relay.run_for(20);

  relay.replace();
  TestSocket other = relay.connect_client("OPEN 9 9 c=talk,d=1200\r\n");

  EXPECT_TRUE(relay.run_until([&] { return other.received() == "ERR\r\n"; }));
  EXPECT_FALSE(relay.has_unaccepted_attempt());
}

// The same for ids that either process uses while both accept clients, although messages between them cannot
// be sent at first.
TEST(SessionHandover, EachProcessKnowsTheIdsThatTheOtherUses) {
  const FaultPlanScope scope;
  RestartingRelay relay(1);
  auto before = relay.establish_session("1");
  relay.second = relay.start_process();
  fault_plan().hand_over.error_number = EAGAIN;
  fault_plan().hand_over.remaining = 3;

  for (int i = 2; i < 12; ++i) relay.establish_session(std::to_string(i));
  relay.run_for(100);

  EXPECT_EQ(relay.first->proxy.claimed_session_ids().size(), 11u);
  EXPECT_EQ(relay.second->proxy.claimed_session_ids().size(), 11u);
}

// A third process learns from the second what the first has told.
TEST(SessionHandover, IdsStayRefusedOverSeveralReplacements) {
  RestartingRelay relay(2);
  { const auto session = relay.establish_session("9"); }
  relay.replace();
  relay.run_for(60);

  relay.first = std::move(relay.second);
  relay.replace();
  TestSocket other = relay.connect_client("OPEN 9 9 c=talk,d=1200\r\n");

  EXPECT_TRUE(relay.run_until([&] { return other.received() == "ERR\r\n"; }));
  EXPECT_FALSE(relay.has_unaccepted_attempt());
}

// A handover message for an established session, with the remote ends of the session's connections.
struct HandedOverSession {
  TestSocket client_listener = TestSocket::listening();
  TestSocket client = TestSocket::connected_to(client_listener.port());
  TestSocket downstream = client_listener.accept();
  TestSocket backend_listener = TestSocket::listening();
  TestSocket upstream = TestSocket::connected_to(backend_listener.port());
  proxy::IncomingHandover handover;

  explicit HandedOverSession(const std::string& backend) {
    handover.message = proxy::OpenSession{"OPEN 9 9 c=talk,d=1200", backend};
    handover.downstream = net::FileDescriptor(dup(downstream.fd()));
    handover.upstream = net::FileDescriptor(dup(upstream.fd()));
  }
};

TEST(SessionHandover, SuccessorMigratesASessionWhoseBackendIsNotListed) {
  RestartingRelay relay(2);
  auto listed = relay.establish_session("1");
  const std::size_t index = relay.backend_index(listed.upstream);
  relay.second = relay.start_process();
  HandedOverSession unlisted("s-left");
  unlisted.downstream.close();

  relay.second->proxy.receive_handover(std::move(unlisted.handover));

  EXPECT_TRUE(relay.run_until([&] { return unlisted.client.received() == "MOVE\r\n"; }));
  EXPECT_FALSE(listed.client.is_ended_by_peer()) << index;
}

// A session may be handed over before an endpoint list names its backend.
TEST(SessionHandover, DisabledBackendOfAnUnlistedSessionStaysDisabledOnceListed) {
  RestartingRelay relay(1);
  relay.backends.push_back(TestSocket::listening());
  relay.first->proxy.set_disabled_backends({"s-1"});
  HandedOverSession session("s-1");

  relay.first->proxy.receive_handover(std::move(session.handover));
  relay.watch = std::move(relay.watches.back());
  relay.publish_endpoints(endpoint_changes(6, {relay.endpoint(1, "active")}));
  relay.run_for(50);

  for (int i = 1; i < 9; ++i) {
    const auto other = relay.establish_session(std::to_string(i + 20));
    EXPECT_EQ(relay.backend_index(other.upstream), 0u);
  }
}

}  // namespace
}  // namespace cherryrail::testing
