// Attempts at backends: the outcome of each answer, failure and timeout.
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/socket.h>

#include <cerrno>
#include <string>

#include "support/fault_plan.hpp"
#include "support/loopback_relay.hpp"

namespace cherryrail::testing {
namespace {

constexpr const char* kOpenRequest = "OPEN 9b1f 7f3a c=talk,d=1200\r\n";
constexpr const char* kLongTimeoutClass =
    R"(,"permissions":{"max_setups":3,"may_cancel":true,"connect_timeout":4000},"profiles":[{"name":"talk",
    "setup_goal":4000.0,"client_timeout":8000.0,"payoff":1.0,"semantics":"idempotent"}])";
constexpr const char* kNonIdempotentClass =
    R"(,"profiles":[{"name":"talk","setup_goal":100.0,"client_timeout":1200.0,"payoff":1.0,
    "semantics":"at_most_once"}])";

// Backends refuse the connection, answer BUSY or close: at most three attempts, then one answer.
TEST(Upstream, RejectsTheClientOnceAfterTheLastAttempt) {
  LoopbackRelay relay(4);
  relay.backends[2].close();
  TestSocket client = relay.connect_client(kOpenRequest);

  int attempts = 0;
  EXPECT_TRUE(relay.run_until([&] {
    for (const TestSocket& backend : relay.backends) {
      TestSocket upstream = backend ? backend.accept() : TestSocket();
      if (!upstream) continue;
      ++attempts;
      if (attempts % 2 != 0) upstream.send("BUSY\r\n");
      upstream.close();
    }
    return client.is_ended_by_peer();
  }));

  EXPECT_EQ(client.received(), "BUSY\r\n");
  EXPECT_GE(attempts, 2);
  EXPECT_LE(attempts, 3);
}

TEST(Upstream, RetriesAtAnotherBackendWhenTheFirstDoesNotAnswer) {
  LoopbackRelay relay(2);
  TestSocket client = relay.connect_client(kOpenRequest);
  TestSocket silent = relay.accept_attempt();

  TestSocket upstream = relay.accept_attempt();

  EXPECT_TRUE(relay.run_until([&] { return silent.is_ended_by_peer(); }));
  upstream.send("UP 2\r\n");
  EXPECT_TRUE(relay.run_until([&] { return client.received() == "UP 2\r\n"; }));
}

// After a stall, the relay reads pending input before it checks timeouts.
TEST(Upstream, AcceptsAnAnswerThatArrivedDuringAStall) {
  LoopbackRelay relay(1);
  TestSocket client = relay.connect_client(kOpenRequest);
  TestSocket upstream = relay.accept_attempt();

  upstream.send("UP 3\r\n");
  poll(nullptr, 0, 400);

  EXPECT_TRUE(relay.run_until([&] { return client.received() == "UP 3\r\n"; }));
}

// There is one attempt at a time, and no attempt for a client that has left.
TEST(Upstream, EndsTheAttemptWhenTheClientClosesItsSendingSide) {
  LoopbackRelay relay(2);
  TestSocket client = relay.connect_client(kOpenRequest);
  TestSocket upstream = relay.accept_attempt();

  client.finish_sending();

  EXPECT_TRUE(relay.run_until([&] { return client.is_ended_by_peer() && upstream.is_ended_by_peer(); }));
  EXPECT_EQ(client.received(), "ERR\r\n");  // the client may still read
  for (const TestSocket& backend : relay.backends) EXPECT_FALSE(backend.accept());
}

// The first backend's full backlog delays the connection.
TEST(Upstream, SendsNoRequestToABackendThatStartsDrainingDuringTheConnect) {
  LoopbackRelay relay(2, 500, kLongTimeoutClass);
  relay.publish_endpoints(endpoint_snapshot(5, {relay.endpoint(0, "active")}));
  relay.run_for(20);
  ASSERT_EQ(listen(relay.backends[0].fd(), 0), 0);
  const TestSocket backlog_filler = TestSocket::connected_to(relay.backends[0].port());
  TestSocket client = relay.connect_client("OPEN 1 1 c=talk,d=8000\r\n");
  relay.run_for(100);

  relay.publish_endpoints(endpoint_changes(6, {relay.endpoint(0, "leaving"), relay.endpoint(1, "active")}));
  relay.run_for(100);
  ASSERT_TRUE(relay.backends[0].accept());

  TestSocket delayed = relay.accept_connection();  // the kernel retransmits the SYN after a second
  relay.expect_ended_unused(delayed);
  TestSocket upstream = relay.accept_attempt();
  EXPECT_EQ(relay.backend_index(upstream), 1u);
  upstream.send("UP 1\r\n");
  EXPECT_TRUE(relay.run_until([&] { return client.received() == "UP 1\r\n"; }));
}

TEST(Upstream, RetriesAtTheNextBackendAfterAMalformedAnswer) {
  for (const std::string& malformed : {std::string("\r\n"), std::string("OK 1\r\n"), std::string(5000, 'x'),
                                       std::string("BUSY\r\nUP late\r\n"), std::string("ERR\r\nBUSY\r\n")}) {
    LoopbackRelay relay(2);
    TestSocket client = relay.connect_client(kOpenRequest);
    TestSocket first = relay.accept_attempt();

    first.send(malformed);
    TestSocket second = relay.accept_attempt();

    EXPECT_TRUE(relay.run_until([&] { return first.is_ended_by_peer(); }));
    second.send("UP 1\r\n");
    EXPECT_TRUE(relay.run_until([&] { return client.received() == "UP 1\r\n"; }));
    EXPECT_FALSE(relay.has_unaccepted_attempt());
  }
}

TEST(Upstream, AcceptsAnAnswerThatArrivesBeforeTheRequestIsSent) {
  LoopbackRelay relay(1);
  TestSocket client = relay.connect_client(kOpenRequest);
  TestSocket upstream = relay.accept_connection();

  upstream.send("UP 1\r\nfirst\r\n");  // the relay has not sent a byte yet

  EXPECT_TRUE(relay.run_until([&] { return client.received() == "UP 1\r\nfirst\r\n"; }));
  client.send("x\r\n");
  EXPECT_TRUE(relay.run_until([&] { return upstream.received().ends_with("\r\nx\r\n"); }));
}

TEST(Upstream, DoesNotRetryANonIdempotentSessionThatMayHaveRun) {
  for (const std::string& ending : {std::string("ERR\r\n"), std::string("\r\n"), std::string("reset"),
                                    std::string("closed"), std::string("nothing")}) {
    LoopbackRelay relay(2, 500, kNonIdempotentClass);
    TestSocket client = relay.connect_client(kOpenRequest);
    TestSocket upstream = relay.accept_attempt();

    if (ending == "reset")
      upstream.reset();
    else if (ending == "closed")
      upstream.close();
    else if (ending != "nothing")
      upstream.send(ending);

    EXPECT_TRUE(relay.run_until([&] { return client.is_ended_by_peer(); })) << ending;
    EXPECT_EQ(client.received(), "ERR\r\n") << ending;
    EXPECT_FALSE(relay.has_unaccepted_attempt()) << ending;
  }
}

// A lack of local ports or buffers is no failure of the backend, and the attempt never started.
TEST(Upstream, DoesNotRecordALocalConnectFailureAsABackendFailure) {
  for (const int error : {EADDRNOTAVAIL, ENOBUFS}) {
    const FaultPlanScope scope;
    LoopbackRelay relay(1);
    ::testing::internal::CaptureStderr();

    for (int i = 0; i < 10; ++i) {
      TestSocket client = relay.connect_client("");
      fault_plan().connect.error_number = error;
      fault_plan().connect.per_mille = 1000;
      client.send("OPEN " + std::to_string(i) + " 1 c=talk,d=1200\r\n");
      EXPECT_TRUE(relay.run_until([&] { return client.received() == "BUSY\r\n"; }));
      fault_plan().connect.error_number = 0;
    }
    relay.establish_session("99");
    const std::string log = ::testing::internal::GetCapturedStderr();

    EXPECT_EQ(log.find("connect_failed"), std::string::npos) << error << log;
    EXPECT_EQ(log.find(" ejected"), std::string::npos) << error << log;
  }
}

// On an interrupted link, the kernel would keep retransmitting the request after an orderly close, and the
// backend might receive it after its deduplication window has passed.
TEST(Upstream, ResetsTheConnectionOfATimedOutAttempt) {
  LoopbackRelay relay(2);
  TestSocket client = relay.connect_client("OPEN 1 1 c=talk,d=1200\r\n");
  TestSocket unresponsive = relay.accept_attempt();

  TestSocket next = relay.accept_attempt();
  next.send("UP r\r\n");
  EXPECT_TRUE(relay.run_until([&] { return client.received() == "UP r\r\n"; }));

  EXPECT_TRUE(unresponsive.is_reset_by_peer());
}

// Guards against a request that runs although its attempt counts as one that reached nobody.
TEST(Upstream, DeliversNoPartOfARequestAfterItsAttemptHasFailed) {
  const FaultPlanScope scope;
  LoopbackRelay relay(1);
  TestSocket client = relay.connect_client("OPEN 1 1 c=talk,d=1200\r\n");
  fault_plan().send.error_number = EAGAIN;  // as if the backend's receive buffer were full
  fault_plan().send.per_mille = 1000;
  TestSocket upstream = relay.accept_connection();
  relay.run_for(500);  // longer than the attempt's timeout
  fault_plan().send.per_mille = 0;

  EXPECT_TRUE(relay.run_until([&] { return upstream.is_ended_by_peer() && client.is_ended_by_peer(); }));
  EXPECT_EQ(upstream.received(), "");
  EXPECT_EQ(client.received(), "BUSY\r\n");
}

}  // namespace
}  // namespace cherryrail::testing
