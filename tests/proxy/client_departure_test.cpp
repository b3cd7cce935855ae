// A client that leaves while it waits for its session, in each way in which a connection can end. No byte of
// an attempt may be sent for it from then on.
#include <gtest/gtest.h>
#include <poll.h>

#include <string>

#include "support/loopback_relay.hpp"

namespace cherryrail::testing {
namespace {

constexpr const char* kOpenRequest = "OPEN 9b1f 7f3a c=talk,d=1200\r\n";
constexpr const char* kNoCancelling = R"(,"permissions":{"max_setups":3,"connect_timeout":100})";

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
  // By the protocol the client has ended, so it is told; only one that still reads can receive that.
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

TEST_P(ClientDeparture, RightAfterItsRequestOpensNoConnection) {
  LoopbackRelay relay(2);
  TestSocket client = relay.connect_client(kOpenRequest);

  depart(client);  // the relay finds the request and the end together
  relay.run_for(50);

  for (const TestSocket& backend : relay.backends) EXPECT_FALSE(backend.accept());
  expect_error(relay, client);
}

// The connection and the client's end are ready in one turn, the connection first: the client's end must be
// looked for before the request is sent on.
TEST_P(ClientDeparture, WhileItsConnectionComesUpSendsNothing) {
  LoopbackRelay relay(2);
  TestSocket client = relay.connect_client(kOpenRequest);
  TestSocket upstream = relay.accept_connection();

  depart(client);

  relay.expect_ended_unused(upstream);
  EXPECT_FALSE(relay.has_unaccepted_attempt());
  expect_error(relay, client);
}

TEST_P(ClientDeparture, BetweenAFailedAttemptAndTheNextSendsNothing) {
  LoopbackRelay relay(2);
  TestSocket client = relay.connect_client(kOpenRequest);
  TestSocket first = relay.accept_attempt();
  first.send("BUSY\r\n");
  TestSocket next = relay.accept_connection();

  depart(client);

  relay.expect_ended_unused(next);
  expect_error(relay, client);
}

TEST_P(ClientDeparture, DuringAStallOfTheRelaySendsNothing) {
  LoopbackRelay relay(2);
  TestSocket client = relay.connect_client(kOpenRequest);
  TestSocket first = relay.accept_attempt();

  first.send("ERR\r\n");
  depart(client);
  poll(nullptr, 0, 50);
  relay.run_for(50);

  EXPECT_FALSE(relay.has_unaccepted_attempt());
}

TEST_P(ClientDeparture, CancelsTheAttemptUnderWay) {
  LoopbackRelay relay(2);
  TestSocket client = relay.connect_client(kOpenRequest);
  TestSocket upstream = relay.accept_attempt();

  depart(client);

  EXPECT_TRUE(relay.run_until([&] { return upstream.is_ended_by_peer(); }, 200));  // before any timeout
  EXPECT_FALSE(relay.has_unaccepted_attempt());
}

TEST_P(ClientDeparture, LeavesTheAttemptUnderWayToItsTimeoutWhereCancellingIsNotAllowed) {
  LoopbackRelay relay(2, 500, kNoCancelling);
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
