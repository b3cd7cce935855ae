// Client requests and the relay's answers, up to the established session.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "support/loopback_relay.hpp"

namespace cherryrail::testing {
namespace {

TEST(Downstream, AnswersPingAndReadsAnOpenRequestSentInPieces) {
  LoopbackRelay relay(1);
  TestSocket client = relay.connect_client("PI");
  relay.run_for(20);

  client.send("NG\r\nOPEN 9b1f 7f3a c=ta");
  EXPECT_TRUE(relay.run_until([&] { return client.received() == "PONG\r\n"; }));

  client.send("lk,d=1200\r\n");
  EXPECT_TRUE(relay.accept_attempt());
}

TEST(Downstream, ClosesOnlyTheConnectionThatSentAMalformedLine) {
  LoopbackRelay relay(1);

  for (const std::string& line : {std::string("GET / HTTP/1.1\r\n"), std::string("OPEN 1 2 c=none,d=5\r\n"),
                                  std::string("OPEN 1 2 c=talk,d=-1\r\n"), std::string(5000, 'x')}) {
    TestSocket client = relay.connect_client(line);
    EXPECT_TRUE(relay.run_until([&] { return client.is_ended_by_peer(); }));
    EXPECT_EQ(client.received(), "ERR\r\n");
  }

  relay.establish_session("8");
}

// Operators need the log to show why clients were rejected.
TEST(Downstream, LogsTheReasonOfEachRejection) {
  LoopbackRelay relay(1);
  ::testing::internal::CaptureStderr();

  relay.publish_endpoints(endpoint_changes(5, {relay.endpoint(0, "leaving")}));
  relay.run_for(20);
  TestSocket without_backend = relay.connect_client("OPEN 1 1 c=talk,d=1200\r\n");
  EXPECT_TRUE(relay.run_until([&] { return without_backend.is_ended_by_peer(); }));

  relay.publish_endpoints(endpoint_changes(6, {relay.endpoint(0, "active")}));
  relay.run_for(20);
  TestSocket with_failed_attempts = relay.connect_client("OPEN 2 2 c=talk,d=1200\r\n");
  TestSocket upstream = relay.accept_attempt();
  upstream.send("BUSY\r\n");
  upstream.close();
  EXPECT_TRUE(relay.run_until([&] { return with_failed_attempts.is_ended_by_peer(); }));

  relay.proxy->begin_graceful_shutdown();
  relay.run_for(600);
  TestSocket during_shutdown = relay.connect_client("OPEN 3 3 c=talk,d=1200\r\n");
  relay.run_until([&] { return during_shutdown.is_ended_by_peer(); });

  const std::string log = ::testing::internal::GetCapturedStderr();
  for (const char* line :
       {"session=1 result=rejected reason=no_backend", "session=2 result=rejected reason=attempts_failed",
        "session=3 result=rejected reason=shutting_down"})
    EXPECT_NE(log.find(line), std::string::npos) << line << " in\n" << log;
}

// Closing a socket with unread data resets the connection, and the client would lose the answer.
TEST(Downstream, DeliversTheErrorToAClientThatKeepsSending) {
  LoopbackRelay relay(1);
  TestSocket client = relay.connect_client("OPEN ");
  const std::string much(100000, 'k');

  std::size_t sent = 0;
  EXPECT_TRUE(relay.run_until(
      [&] {
        sent += client.send_some(much);
        return sent > 20'000'000;
      },
      3000));

  EXPECT_TRUE(relay.run_until([&] { return client.is_ended_by_peer(); }));
  EXPECT_EQ(client.received(), "ERR\r\n");
  EXPECT_TRUE(relay.run_until([&] { return client.send_some(much) > 0; }));  // it has not been reset
}

TEST(Downstream, RejectsADuplicateSessionIdWithoutStartingAnAttempt) {
  LoopbackRelay relay(2);
  auto session = relay.establish_session("77");

  TestSocket other = relay.connect_client("OPEN 77 1 c=talk,d=1200\r\n");

  EXPECT_TRUE(relay.run_until([&] { return other.is_ended_by_peer(); }));
  EXPECT_EQ(other.received(), "ERR\r\n");
  for (const TestSocket& backend : relay.backends) EXPECT_FALSE(backend.accept());
  session.client.send("x\r\n");
  EXPECT_TRUE(relay.run_until([&] { return session.upstream.received().ends_with("x\r\n"); }));
}

// Guards against an id that runs twice (issue 61): ids were forgotten five seconds after their sessions.
TEST(Downstream, RejectsTheIdOfAClientThatLeftSecondsAgo) {
  LoopbackRelay relay(2);
  TestSocket client = relay.connect_client("OPEN 77 1 c=talk,d=1200\r\n");
  const TestSocket upstream = relay.accept_attempt();
  client.close();
  relay.run_for(5500);

  TestSocket other = relay.connect_client("OPEN 77 1 c=talk,d=1200\r\n");

  EXPECT_TRUE(relay.run_until([&] { return other.received() == "ERR\r\n"; }));
  EXPECT_FALSE(relay.has_unaccepted_attempt());
}

// Guards against an id that runs at both processes of a hot restart: the other process claims it after this
// one has accepted the request.
TEST(Downstream, SendsNoRequestWhoseIdAnotherProcessClaimsMeanwhile) {
  LoopbackRelay relay(2);
  relay.proxy->on_session_id_claimed([&](std::uint64_t hash) {
    relay.proxy->receive_handover({proxy::ClaimedSessionIds{{hash}}, {}, {}});
  });

  TestSocket client = relay.connect_client("OPEN 77 1 c=talk,d=1200\r\n");

  EXPECT_TRUE(relay.run_until([&] { return client.is_ended_by_peer(); }));
  EXPECT_EQ(client.received(), "ERR\r\n");
  EXPECT_FALSE(relay.has_unaccepted_attempt());
}

TEST(Downstream, RejectsAClientThatPipelinesRequests) {
  LoopbackRelay relay(1);
  std::string requests;
  for (int i = 0; i < 300; ++i) requests += "OPEN " + std::to_string(i) + " 1 c=talk,d=1200\r\n";

  TestSocket client = relay.connect_client(requests);

  EXPECT_TRUE(relay.run_until([&] { return client.is_ended_by_peer(); }));
  EXPECT_EQ(client.received(), "ERR\r\n");
  EXPECT_FALSE(relay.backends[0].accept());
}

TEST(Downstream, RejectsAClientThatSendsDataBeforeItsAnswer) {
  LoopbackRelay relay(1);
  TestSocket client = relay.connect_client("OPEN 700 1 c=talk,d=1200\r\n");
  TestSocket upstream = relay.accept_attempt();

  client.send("and now?\r\n");

  EXPECT_TRUE(relay.run_until([&] { return client.is_ended_by_peer() && upstream.is_ended_by_peer(); }));
  EXPECT_EQ(client.received(), "ERR\r\n");
}

// Well-behaved clients on poor links send slowly. When descriptors are short, they must not be closed before
// connections that send nothing.
TEST(Downstream, KeepsASlowlySendingClientWhenManyConnectionsNeverCompleteARequest) {
  LoopbackRelay relay(1, 60);
  const std::string request = "OPEN 1 1 c=talk,d=1200\r\n";
  TestSocket slow_client = relay.connect_client(request.substr(0, 1));

  std::vector<TestSocket> incomplete_clients;
  for (std::size_t position = 1; position < request.size(); ++position) {
    for (int i = 0; i < 8; ++i)
      incomplete_clients.push_back(relay.connect_client(i % 2 != 0 ? "OPEN 2 2" : ""));
    relay.run_for(10);
    slow_client.send(request.substr(position, 1));
  }

  TestSocket upstream = relay.accept_attempt();
  upstream.send("UP r\r\n");
  EXPECT_TRUE(relay.run_until([&] { return slow_client.received() == "UP r\r\n"; }));
}

// The client's request may be in flight when the relay closes the connection, and would not be read.
TEST(Downstream, AnswersBusyToAnIdleClientAtTheRequestTimeout) {
  LoopbackRelay relay(1);
  TestSocket silent = relay.connect_client("");
  TestSocket after_a_ping = relay.connect_client("PING\r\n");

  EXPECT_TRUE(
      relay.run_until([&] { return silent.is_ended_by_peer() && after_a_ping.is_ended_by_peer(); }, 3000));
  silent.send_some("OPEN 1 1 c=talk,d=1200\r\n");
  after_a_ping.send_some("OPEN 2 2 c=talk,d=1200\r\n");
  relay.run_for(20);

  EXPECT_EQ(silent.received(), "BUSY\r\n");
  EXPECT_EQ(after_a_ping.received(), "PONG\r\nBUSY\r\n");
}

}  // namespace
}  // namespace cherryrail::testing
