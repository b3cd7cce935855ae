// Clients that name the backend on which their session stood before a restart (`at=`).
#include <gtest/gtest.h>

#include <string>

#include "support/loopback_relay.hpp"

namespace cherryrail::testing {
namespace {

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

TEST(RestoredSession, GoesElsewhereOnceItsBackendDrains) {
  LoopbackRelay relay(3);
  relay.publish_endpoints(endpoint_changes(5, {relay.endpoint(2, "leaving")}));
  relay.run_for(20);
  TestSocket client = relay.connect_client("OPEN 1 5 c=talk,d=20000,at=s-2\r\n");

  TestSocket upstream = relay.accept_attempt();

  EXPECT_NE(relay.backend_index(upstream), 2u);
  upstream.send("UP 9\r\n");
  EXPECT_TRUE(relay.run_until([&] { return client.received() == "UP 9\r\n"; }));
}

// The answer must reach the client before the client gives up.
TEST(RestoredSession, ItsAttemptEndsBeforeItsClientsTimeout) {
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
