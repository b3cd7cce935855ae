// A client that leaves while its session is being opened, by each way of ending a connection. From then on,
// no request may be sent to a backend for it.
#include <gtest/gtest.h>
#include <poll.h>

#include <string>

#include "support/loopback_relay.hpp"

namespace cherryrail::testing {
namespace {

constexpr const char* kOpenRequest = "OPEN 9b1f 7f3a c=talk,d=1200\r\n";
constexpr const char* kCancellingForbidden = R"(,"permissions":{"max_setups":3,"connect_timeout":100})";

enum class Departure { finishes_sending, closes, resets };

class ClientDeparture : public ::testing::TestWithParam<Departure> {
 protected:
  static void depart(TestSocket& client) {
    switch (GetParam()) {
      case Departure::finishes_sending:
        return client.finish_sending();
      case Departure::closes:
        return client.close();
      case Departure::resets:
        return client.reset();
    }
  }
  // The protocol requires an ERR answer, which only a client that still reads can receive.
  static void expect_error(LoopbackRelay& relay, TestSocket& client) {
    if (GetParam() != Departure::finishes_sending) return;
    EXPECT_TRUE(relay.run_until([&] { return client.is_ended_by_peer(); }));
    EXPECT_EQ(client.received(), "ERR\r\n");
  }
};

std::string departure_name(const ::testing::TestParamInfo<Departure>& departure) {
  switch (departure.param) {
    case Departure::finishes_sending:
      return "FinishesSending";
    case Departure::closes:
      return "Closes";
    case Departure::resets:
      return "Resets";
  }
  return "";
}

INSTANTIATE_TEST_SUITE_P(EachWay, ClientDeparture,
                         ::testing::Values(Departure::finishes_sending, Departure::closes, Departure::resets),
                         departure_name);

TEST_P(ClientDeparture, OpensNoConnectionIfTheClientLeavesRightAfterItsRequest) {
  LoopbackRelay relay(2);
  TestSocket client = relay.connect_client(kOpenRequest);

  depart(client);  // the relay reads the request and the end of stream together
  relay.run_for(50);

  for (const TestSocket& backend : relay.backends) EXPECT_FALSE(backend.accept());
  expect_error(relay, client);
}

// The backend connection and the client's end of stream become ready in the same event loop iteration, the
// connection first: the relay must check for the client's departure before it sends the request.
TEST_P(ClientDeparture, SendsNothingIfTheClientLeavesWhileTheBackendConnects) {
  LoopbackRelay relay(2);
  TestSocket client = relay.connect_client(kOpenRequest);
  TestSocket upstream = relay.accept_connection();

  depart(client);

  relay.expect_ended_unused(upstream);
  EXPECT_FALSE(relay.has_unaccepted_attempt());
  expect_error(relay, client);
}

TEST_P(ClientDeparture, SendsNothingIfTheClientLeavesBetweenTwoAttempts) {
  LoopbackRelay relay(2);
  TestSocket client = relay.connect_client(kOpenRequest);
  TestSocket first = relay.accept_attempt();
  first.send("BUSY\r\n");
  TestSocket next = relay.accept_connection();

  depart(client);

  relay.expect_ended_unused(next);
  expect_error(relay, client);
}

TEST_P(ClientDeparture, SendsNothingIfTheClientLeavesDuringARelayStall) {
  LoopbackRelay relay(2);
  TestSocket client = relay.connect_client(kOpenRequest);
  TestSocket first = relay.accept_attempt();

  first.send("ERR\r\n");
  depart(client);
  poll(nullptr, 0, 50);
  relay.run_for(50);

  EXPECT_FALSE(relay.has_unaccepted_attempt());
}

TEST_P(ClientDeparture, CancelsTheCurrentAttempt) {
  LoopbackRelay relay(2);
  TestSocket client = relay.connect_client(kOpenRequest);
  TestSocket upstream = relay.accept_attempt();

  depart(client);

  EXPECT_TRUE(relay.run_until([&] { return upstream.is_ended_by_peer(); }, 200));  // before any timeout
  EXPECT_FALSE(relay.has_unaccepted_attempt());
}

TEST_P(ClientDeparture, KeepsTheCurrentAttemptUntilItsTimeoutIfCancellingIsForbidden) {
  LoopbackRelay relay(2, 500, kCancellingForbidden);
  TestSocket client = relay.connect_client(kOpenRequest);
  TestSocket upstream = relay.accept_attempt();

  depart(client);
  relay.run_for(100);

  EXPECT_FALSE(upstream.is_ended_by_peer());
  EXPECT_TRUE(relay.run_until([&] { return upstream.is_ended_by_peer(); }));
  EXPECT_FALSE(relay.has_unaccepted_attempt());
}

}  // namespace
}  // namespace cherryrail::testing
