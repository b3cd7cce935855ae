// Health checks of backends over sockets.
#include <gtest/gtest.h>

#include "support/loopback_relay.hpp"

namespace cherryrail::testing {
namespace {

// Lines from a backend show that it is alive but not its load, so health checks continue.
TEST(HealthChecker, ChecksABackendWithActiveSessions) {
  LoopbackRelay relay(1, 500, R"(,"permissions":{"max_setups":3,"connect_timeout":100,"probing":true})");
  auto session = relay.establish_session("1");

  TestSocket health_check;
  const auto is_checked = [&] {
    session.client.send("x\r\n");
    session.upstream.send("x\r\n");
    if (!health_check) health_check = relay.backends[0].accept();
    return health_check && health_check.received() == "PING\r\n";
  };

  EXPECT_TRUE(relay.run_until(is_checked, 1500));
}

}  // namespace
}  // namespace cherryrail::testing
