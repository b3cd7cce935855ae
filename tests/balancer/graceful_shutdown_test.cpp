// Tests of the migration of all sessions when a relay shuts down.
#include <gtest/gtest.h>

#include <algorithm>

#include "support/balancer_fixture.hpp"

namespace cherryrail::testing {
namespace {

TEST(GracefulShutdown, MigratesAllSessionsSpreadOverThreeQuartersOfTheClientTimeout) {
  BalancerFixture fixture(3);
  fixture.establish_sessions(1, 60);

  fixture.balancer.begin_graceful_shutdown();
  std::size_t max_per_step = 0;
  for (int i = 0; i < 16; ++i) {
    const std::size_t before = fixture.actions.migrated_sessions.size();
    fixture.actions.advance(100 * kMillisecond);
    max_per_step = std::max(max_per_step, fixture.actions.migrated_sessions.size() - before);
    for (std::size_t index = before; index < fixture.actions.migrated_sessions.size(); ++index)
      fixture.end_attempt(*fixture.actions.migrated_sessions[index], AttemptResult::cancelled, true);
  }

  EXPECT_LE(max_per_step, 15u);
  EXPECT_EQ(fixture.actions.migrated_sessions.size(), 60u);
}

}  // namespace
}  // namespace cherryrail::testing
