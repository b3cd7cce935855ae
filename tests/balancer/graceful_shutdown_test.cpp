// How a relay that shuts down gives up its sessions.
#include <gtest/gtest.h>

#include <algorithm>

#include "support/balancer_fixture.hpp"

namespace cherryrail::testing {
namespace {

TEST(GracefulShutdown, MigratesAllSessionsSpreadOverThreeQuartersOfTheClientTimeout) {
  BalancerFixture fixture(3);
  fixture.establish_sessions(1, 60);

  fixture.balancer.begin_graceful_shutdown();
  std::size_t most_in_a_step = 0;
  for (int i = 0; i < 16; ++i) {
    const std::size_t before = fixture.actions.migrated_sessions.size();
    fixture.actions.advance(100 * kMillisecond);
    most_in_a_step = std::max(most_in_a_step, fixture.actions.migrated_sessions.size() - before);
    for (std::size_t index = before; index < fixture.actions.migrated_sessions.size(); ++index)
      fixture.end_attempt(*fixture.actions.migrated_sessions[index], AttemptResult::cancelled, true);
  }

  EXPECT_LE(most_in_a_step, 15u);
  EXPECT_EQ(fixture.actions.migrated_sessions.size(), 60u);
}

}  // namespace
}  // namespace cherryrail::testing
