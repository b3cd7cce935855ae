// Attempts at backends: what comes of each answer, failure and silence.
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
constexpr const char* kPatientClass =
    R"(,"permissions":{"max_setups":3,"may_cancel":true,"connect_timeout":4000},"profiles":[{"name":"talk",
    "setup_goal":4000.0,"client_timeout":8000.0,"payoff":1.0,"semantics":"idempotent"}])";
constexpr const char* kNonIdempotentClass =
    R"(,"profiles":[{"name":"talk","setup_goal":100.0,"client_timeout":1200.0,"payoff":1.0,
    "semantics":"at_most_once"}])";

// Backends that refuse, answer BUSY or break off: three attempts, then one answer.
TEST(Upstream, TheClientIsRejectedOnceAfterTheLastAttempt) {
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

TEST(Upstream, ABackendThatDoesNotAnswerIsGivenUpForAnotherInTime) {
  LoopbackRelay relay(2);
  TestSocket client = relay.connect_client(kOpenRequest);
  TestSocket silent = relay.accept_attempt();

  TestSocket upstream = relay.accept_attempt();

  EXPECT_TRUE(relay.run_until([&] { return silent.is_ended_by_peer(); }));
  upstream.send("UP 2\r\n");
  EXPECT_TRUE(relay.run_until([&] { return client.received() == "UP 2\r\n"; }));
}

// A relay that was held up reads what has come meanwhile before it looks at the time.
TEST(Upstream, AnAnswerThatCameDuringAStallIsNoTimeout) {
  LoopbackRelay relay(1);
  TestSocket client = relay.connect_client(kOpenRequest);
  TestSocket upstream = relay.accept_attempt();

  upstream.send("UP 3\r\n");
  poll(nullptr, 0, 400);

  EXPECT_TRUE(relay.run_until([&] { return client.received() == "UP 3\r\n"; }));
}

// There is one attempt at a time, and none for a client that has left.
TEST(Upstream, AClientThatFinishesSendingEndsItsAttempt) {
  LoopbackRelay relay(2);
  TestSocket client = relay.connect_client(kOpenRequest);
  TestSocket upstream = relay.accept_attempt();

  client.finish_sending();

  EXPECT_TRUE(relay.run_until([&] { return client.is_ended_by_peer() && upstream.is_ended_by_peer(); }));
  EXPECT_EQ(client.received(), "ERR\r\n");  // it may still read
  for (const TestSocket& backend : relay.backends) EXPECT_FALSE(backend.accept());
}

// The full backlog of the first backend makes its connection come up late.
TEST(Upstream, ABackendThatDrainsWhileItsConnectionComesUpGetsNoAttemptOnIt) {
  LoopbackRelay relay(2, 500, kPatientClass);
  relay.publish_endpoints(endpoint_snapshot(5, {relay.endpoint(0, "active")}));
  relay.run_for(20);
  ASSERT_EQ(listen(relay.backends[0].fd(), 0), 0);
  const TestSocket fills_the_backlog = TestSocket::connected_to(relay.backends[0].port());
  TestSocket client = relay.connect_client("OPEN 1 1 c=talk,d=8000\r\n");
  relay.run_for(100);

  relay.publish_endpoints(endpoint_changes(6, {relay.endpoint(0, "leaving"), relay.endpoint(1, "active")}));
  relay.run_for(100);
  ASSERT_TRUE(relay.backends[0].accept());

  TestSocket late = relay.accept_connection();  // the kernel tries again after a second
  relay.expect_ended_unused(late);
  TestSocket upstream = relay.accept_attempt();
  EXPECT_EQ(relay.backend_index(upstream), 1u);
  upstream.send("UP 1\r\n");
  EXPECT_TRUE(relay.run_until([&] { return client.received() == "UP 1\r\n"; }));
}

TEST(Upstream, AMalformedAnswerFailsItsAttemptAndTheNextBackendServesTheClient) {
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

TEST(Upstream, AnAnswerBeforeTheRequestEstablishesTheSession) {
  LoopbackRelay relay(1);
  TestSocket client = relay.connect_client(kOpenRequest);
  TestSocket upstream = relay.accept_connection();

  upstream.send("UP 1\r\nfirst\r\n");  // the relay has not sent a byte yet

  EXPECT_TRUE(relay.run_until([&] { return client.received() == "UP 1\r\nfirst\r\n"; }));
  client.send("x\r\n");
  EXPECT_TRUE(relay.run_until([&] { return upstream.received().ends_with("\r\nx\r\n"); }));
}

TEST(Upstream, ANonIdempotentSessionThatMayHaveRunIsNotRetriedHoweverItsAttemptEnds) {
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

// No port left, no buffer left: that speaks against no backend, and the attempt never began.
TEST(Upstream, AConnectionThatThisMachineCannotMakeIsNoFailureOfTheBackend) {
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

// On a link that is cut, the system would go on sending the request after a plain close, and the backend
// would have it once the link is back: perhaps when its deduplication window has passed.
TEST(Upstream, AnAttemptThatIsGivenUpLeavesNothingBehindToBeSentLater) {
  LoopbackRelay relay(2);
  TestSocket client = relay.connect_client("OPEN 1 1 c=talk,d=1200\r\n");
  TestSocket hanging = relay.accept_attempt();

  TestSocket next = relay.accept_attempt();
  next.send("UP r\r\n");
  EXPECT_TRUE(relay.run_until([&] { return client.received() == "UP r\r\n"; }));

  EXPECT_TRUE(hanging.is_reset_by_peer());
}

}  // namespace
}  // namespace cherryrail::testing
