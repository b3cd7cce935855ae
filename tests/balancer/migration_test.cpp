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

struct EarlierAttemptCase {
  const char* name;
  DeduplicationScope scope;
  Micros window;
};

class MigrationAfterAnEarlierAttempt : public ::testing::TestWithParam<EarlierAttemptCase> {};

// Guards against clients that are never told to reconnect and are cut off with their draining backend
// (review/7): the attempts before a session was established restrict no later session of its client.
TEST_P(MigrationAfterAnEarlierAttempt, MigratesTheSession) {
  BalancerConfig config = default_config(Idempotency::idempotency_key);
  config.traffic_classes[0].deduplication_scope = GetParam().scope;
  config.traffic_classes[0].deduplication_window = GetParam().window;
  BalancerFixture fixture(2, config);
  for (const auto& backend : fixture.backends) backend->zone = backend->cell = 0;
  Session& session = fixture.request_session(1);
  fixture.end_attempt(session, AttemptResult::reset);
  ASSERT_EQ(fixture.actions.attempts.size(), 2u);
  fixture.balancer.on_established(session, 20 * kMillisecond);
  ASSERT_TRUE(session.is_established);
  Backend& other_zone = fixture.add_backend(0, 1);
  other_zone.cell = 1;
  fixture.actions.advance(kSecond);

  const std::size_t own_index = session.backend == fixture.backends[0] ? 0 : 1;
  fixture.set_endpoint_state(1 - own_index, EndpointState::draining);
  fixture.set_endpoint_state(own_index, EndpointState::draining);
  fixture.actions.advance(kSecond);

  EXPECT_EQ(fixture.actions.migrated_sessions, std::vector<Session*>{&session});
}

INSTANTIATE_TEST_SUITE_P(
    Scopes, MigrationAfterAnEarlierAttempt,
    ::testing::Values(EarlierAttemptCase{"WindowHasPassed", DeduplicationScope::all, 500 * kMillisecond},
                      EarlierAttemptCase{"OtherZone", DeduplicationScope::zone, 60 * kSecond},
                      EarlierAttemptCase{"OtherCell", DeduplicationScope::cell, 60 * kSecond}),
    [](const auto& test) { return test.param.name; });

}  // namespace
}  // namespace cherryrail::testing
