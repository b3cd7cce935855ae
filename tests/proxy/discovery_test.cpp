// How a relay follows discovery on sockets.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "support/loopback_relay.hpp"

namespace cherryrail::testing {
namespace {

// As large as endpoint lists may be: 1,200 backends, each in a zone of its own, and as many relays.
TEST(Discovery, ReadsTwelveHundredEndpointsWithinASecond) {
  constexpr std::size_t kEndpoints = 1200;
  LoopbackRelay relay(2, 500, R"(,"balancers":1200)");
  std::vector<std::string> endpoints;
  for (std::size_t i = 0; i < kEndpoints; ++i) {
    const std::string number = std::to_string(i);
    endpoints.push_back(R"({"uid":"t-)" + number + R"(","endpoint":"127.0.0.1:1","az":"z)" + number +
                        R"(","pod_group":)" + number +
                        R"(,"state":"leaving","capacity_hint":1.0,"boot_ms":0})");
  }
  endpoints.push_back(relay.endpoint(0, "leaving"));
  endpoints.push_back(relay.endpoint(1, "active"));

  const Micros published_at = relay.event_loop.now();
  relay.publish_endpoints(endpoint_snapshot(5, endpoints));
  TestSocket client = relay.connect_client("OPEN 1 1 c=talk,d=1200\r\n");
  TestSocket upstream = relay.accept_attempt();

  ASSERT_TRUE(upstream);
  EXPECT_LT(relay.event_loop.now() - published_at, 1'000'000);
}

}  // namespace
}  // namespace cherryrail::testing
