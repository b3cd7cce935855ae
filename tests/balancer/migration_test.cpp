// Tests of the migration of established sessions away from a draining backend.
#include <gtest/gtest.h>

#include "support/balancer_fixture.hpp"

namespace cherryrail::testing {
namespace {

TEST(Migration, MigratesAllSessionsOfADrainingBackendWithLimitedConcurrency) {
  BalancerFixture fixture(1);
  fixture.establish_sessions(1, 30);
  fixture.add_backend(0);

  fixture.set_endpoint_state(0, EndpointState::draining);
  const std::size_t at_once = fixture.actions.migrated_sessions.size();
  EXPECT_GE(at_once, 1u);
  EXPECT_LT(at_once, 30u);

  fixture.end_attempt(*fixture.actions.migrated_sessions[0], AttemptResult::cancelled, true);
  EXPECT_EQ(fixture.actions.migrated_sessions.size(), at_once + 1);

  // A migration whose end is never reported occupies the pool for only a second.
  fixture.actions.advance(60 * kSecond);
  EXPECT_EQ(fixture.actions.migrated_sessions.size(), 30u);
}

TEST(Migration, FullQueueMigratesWaitingSessionsAfterATimeout) {
  BalancerFixture fixture(1);
  fixture.establish_sessions(1, 40);
  fixture.add_backend(0);
  fixture.set_endpoint_state(0, EndpointState::draining);
  const std::size_t at_once = fixture.actions.migrated_sessions.size();

  fixture.actions.advance(110 * kMillisecond);

  EXPECT_GT(fixture.actions.migrated_sessions.size(), at_once);
}

TEST(Migration, MigratesAdoptedSessions) {
  BalancerFixture fixture(1);
  fixture.make_session(1);
  fixture.balancer.adopt(fixture.sessions[0], fixture.backends[0]);
  fixture.add_backend(0);

  fixture.set_endpoint_state(0, EndpointState::draining);

  ASSERT_EQ(fixture.actions.migrated_sessions.size(), 1u);
  EXPECT_EQ(fixture.actions.migrated_sessions[0], fixture.sessions[0].get());
}

// If no other backend can accept the session, a migrated client is rejected and backs off longer each time,
// while the draining backend would still serve it.
TEST(Migration, WaitsUntilAnotherBackendCanAcceptTheSession) {
  BalancerFixture fixture(1);
  fixture.establish_session(1);

  fixture.set_endpoint_state(0, EndpointState::draining);
  fixture.actions.advance(3 * kSecond);
  EXPECT_TRUE(fixture.actions.migrated_sessions.empty());

  fixture.add_backend(0);
  fixture.actions.advance(kSecond);
  EXPECT_EQ(fixture.actions.migrated_sessions.size(), 1u);
}

// Guards against clients without answers for as long as their draining backend hangs (review/6): a session
// that waits for another backend must not wait once its own backend no longer answers.
TEST(Migration, MigratesAnUnresponsiveSessionThoughNoBackendCanAcceptIt) {
  BalancerFixture fixture(1);
  Session& session = fixture.establish_session(1);
  fixture.set_endpoint_state(0, EndpointState::draining);
  fixture.actions.advance(3 * kSecond);
  ASSERT_TRUE(fixture.actions.migrated_sessions.empty());

  fixture.balancer.on_session_unresponsive(session);

  EXPECT_EQ(fixture.actions.migrated_sessions, std::vector<Session*>{&session});
}

// The same while an operator has disabled the backend.
TEST(Migration, MigratesAnUnresponsiveSessionOfADisabledBackend) {
  BalancerFixture fixture(1);
  Session& session = fixture.establish_session(1);
  fixture.balancer.set_disabled(*fixture.backends[0], true);
  fixture.actions.advance(3 * kSecond);
  ASSERT_TRUE(fixture.actions.migrated_sessions.empty());

  fixture.balancer.on_session_unresponsive(session);

  EXPECT_EQ(fixture.actions.migrated_sessions, std::vector<Session*>{&session});
}

// Guards against a pool that is too small for its queue: while all sessions wait, it has one place, and each
// migration from a backend that hangs within a line takes long.
TEST(Migration, MigratesEachUnresponsiveSessionOnceWithinThreeSeconds) {
  BalancerFixture fixture(1);
  fixture.establish_sessions(1, 30);
  fixture.set_endpoint_state(0, EndpointState::draining);

  for (const auto& session : fixture.sessions) fixture.balancer.on_session_unresponsive(*session);
  EXPECT_LT(fixture.actions.migrated_sessions.size(), 30u);
  fixture.actions.advance(3 * kSecond);
  EXPECT_EQ(fixture.actions.migrated_sessions.size(), 30u);

  fixture.actions.advance(60 * kSecond);
  EXPECT_EQ(fixture.actions.migrated_sessions.size(), 30u);
}

}  // namespace
}  // namespace cherryrail::testing
