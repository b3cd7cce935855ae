// Clients whose open request names the backend that held their session before a restart (`at=`).
#include <gtest/gtest.h>

#include <cerrno>
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "support/fault_plan.hpp"
#include "support/loopback_relay.hpp"

namespace cherryrail::testing {
namespace {

constexpr const char* kRequestForBackendTwo = "OPEN 1 5 c=talk,d=20000,at=s-2\r\n";

// Connects a client before the test injects faults, because the faults also hit the test's own system calls.
TestSocket connect_before_faults(LoopbackRelay& relay) {
  relay.accept_watch();
  TestSocket client = relay.connect_client("");
  relay.run_for(10);
  return client;
}

// Fails the relay's next call of this kind, which is the one for the attempt.
void fail_first_call(CallFaults& faults, int error, LoopbackRelay& relay) {
  faults.error_number = error;
  faults.remaining = 1;
  EXPECT_TRUE(relay.run_until([&] { return faults.remaining == 0; }));
}

void refuse_connections_for_a_while(TestSocket& backend, LoopbackRelay& relay) {
  const int port = backend.port();
  backend.close();
  relay.run_for(150);
  backend = TestSocket::listening(port);
}

void expect_session_at_backend(std::size_t index, LoopbackRelay& relay, TestSocket& client) {
  TestSocket upstream = relay.accept_attempt();
  ASSERT_TRUE(upstream);
  EXPECT_EQ(relay.backend_index(upstream), index);
  upstream.send("UP 9\r\n");
  EXPECT_TRUE(relay.run_until([&] { return client.received() == "UP 9\r\n"; })) << client.received();
  EXPECT_FALSE(relay.has_unaccepted_attempt());
}

TEST(RestoredSession, ReturnsToItsBackend) {
  LoopbackRelay relay(3);
  TestSocket client = relay.connect_client("OPEN 1 5 c=talk,d=20000,at=s-2\r\n");

  TestSocket upstream;
  EXPECT_TRUE(relay.run_until([&] {
    upstream = relay.backends[2].accept();
    return static_cast<bool>(upstream);
  }));
  upstream.send("UP 9\r\n");

  EXPECT_TRUE(relay.run_until([&] { return client.received() == "UP 9\r\n"; }));
}

TEST(RestoredSession, IsRejectedAtOnceIfItsBackendIsDraining) {
  LoopbackRelay relay(3);
  relay.publish_endpoints(endpoint_changes(5, {relay.endpoint(2, "leaving")}));
  relay.run_for(20);
  TestSocket client = relay.connect_client(kRequestForBackendTwo);

  EXPECT_TRUE(relay.run_until([&] { return client.received() == "BUSY\r\n"; }, 1000));

  relay.run_for(50);
  EXPECT_FALSE(relay.has_unaccepted_attempt());
}

TEST(RestoredSession, IsRejectedAtOnceIfAFullEndpointListOmitsItsBackend) {
  LoopbackRelay relay(3);
  TestSocket client = relay.connect_client("OPEN 1 5 c=talk,d=20000,at=s-9\r\n");
  relay.run_for(20);

  relay.publish_endpoints(endpoint_snapshot(5, {relay.endpoint(0, "active"), relay.endpoint(1, "active")}));

  EXPECT_TRUE(relay.run_until([&] { return client.received() == "BUSY\r\n"; }, 1000));
  EXPECT_FALSE(relay.has_unaccepted_attempt());
}

TEST(RestoredSession, IsRejectedInTimeIfItsBackendIsUnreachable) {
  LoopbackRelay relay(3);
  relay.backends[2].close();
  TestSocket client = relay.connect_client("OPEN 1 5 c=talk,d=600,at=s-2\r\n");

  EXPECT_TRUE(relay.run_until([&] { return client.received() == "BUSY\r\n"; }, 1100));

  EXPECT_FALSE(relay.backends[0].accept());
  EXPECT_FALSE(relay.backends[1].accept());
}

TEST(RestoredSession, IsRejectedInTimeIfItsBackendIsNeverListed) {
  LoopbackRelay relay(3);
  TestSocket client = relay.connect_client("OPEN 1 5 c=talk,d=600,at=s-9\r\n");

  EXPECT_TRUE(relay.run_until([&] { return client.received() == "BUSY\r\n"; }, 1100));

  EXPECT_FALSE(relay.has_unaccepted_attempt());
}

TEST(RestoredSession, FailsIfANonIdempotentRequestMayHaveRun) {
  LoopbackRelay relay(3, 500,
                      R"(,"profiles":[{"name":"talk","setup_goal":300.0,"client_timeout":1200.0,"payoff":1.0,
      "semantics":"at_most_once"}])");
  TestSocket client = relay.connect_client(kRequestForBackendTwo);

  relay.accept_attempt().reset();

  EXPECT_TRUE(relay.run_until([&] { return client.received() == "ERR\r\n"; }, 1000));
  EXPECT_FALSE(relay.has_unaccepted_attempt());
}

// Each kind of attempt failure after which a retry is safe, injected once.
TEST(RestoredSession, IsRetriedOnlyAtItsOwnBackend) {
  const std::vector<std::function<void(LoopbackRelay&)>> failures = {
      [](LoopbackRelay& relay) { fail_first_call(fault_plan().connect, ECONNREFUSED, relay); },
      [](LoopbackRelay& relay) { fail_first_call(fault_plan().connect, ETIMEDOUT, relay); },
      [](LoopbackRelay& relay) { fail_first_call(fault_plan().connect, EADDRNOTAVAIL, relay); },
      [](LoopbackRelay& relay) { fail_first_call(fault_plan().socket, EMFILE, relay); },
      [](LoopbackRelay& relay) { relay.accept_from(relay.backends[2]).send("BUSY\r\n"); },
      [](LoopbackRelay& relay) { relay.accept_from(relay.backends[2]).send("ERR\r\n"); },
      [](LoopbackRelay& relay) { relay.accept_attempt().reset(); },
      [](LoopbackRelay& relay) { refuse_connections_for_a_while(relay.backends[2], relay); }};
  for (std::size_t i = 0; i < failures.size(); ++i) {
    SCOPED_TRACE(i);
    const FaultPlanScope scope;
    LoopbackRelay relay(3);
    TestSocket client = connect_before_faults(relay);

    client.send(kRequestForBackendTwo);
    failures[i](relay);

    expect_session_at_backend(2, relay, client);
  }
}

TEST(RestoredSession, WaitsForAnEndpointListWithItsBackend) {
  LoopbackRelay relay(3);
  TestSocket client = relay.connect_client("OPEN 1 5 c=talk,d=20000,at=s-9\r\n");
  relay.run_for(150);
  EXPECT_FALSE(relay.has_unaccepted_attempt());

  std::string renamed = relay.endpoint(2, "active");
  renamed.replace(renamed.find("s-2"), 3, "s-9");
  relay.publish_endpoints(endpoint_changes(5, {renamed}));

  expect_session_at_backend(2, relay, client);
}

// The answer must reach the client before the client's timeout.
TEST(RestoredSession, ItsAttemptTimeoutIsShorterThanTheClientTimeout) {
  LoopbackRelay relay(1);
  const TestSocket client = relay.connect_client("OPEN 1 5 c=talk,d=500,at=s-0\r\n");

  TestSocket upstream = relay.accept_attempt();

  const std::string request = upstream.received();
  const int wait_ms = std::stoi(request.substr(request.find("d=") + 2));
  EXPECT_LE(wait_ms, 480);
  EXPECT_GE(wait_ms, 300);
}

}  // namespace
}  // namespace cherryrail::testing
