// Capacity limits of backends, learned from their reports and from broken connections.
#include <gtest/gtest.h>

#include "support/balancer_fixture.hpp"

namespace cherryrail::testing {
namespace {

TEST(Capacity, ShedsLoadFromAnOverloadedBackendAndRejectsNewSessionsUntilItRecovers) {
  BalancerFixture fixture(1);
  fixture.establish_sessions(1, 20);

  fixture.balancer.on_message_latency_reported(*fixture.sessions[0], kSecond);

  EXPECT_GE(fixture.actions.migrated_sessions.size(), 1u);
  EXPECT_LE(fixture.actions.migrated_sessions.size(), 8u);
  EXPECT_EQ(fixture.final_answers(fixture.request_session(99)), 1u);

  fixture.actions.advance(30 * kSecond);
  EXPECT_EQ(fixture.final_answers(fixture.request_session(100)), 0u);
}

// Messages have an objective of their own: a message that misses it has no value, even if the attempt's
// objective is much longer.
TEST(Capacity, TreatsMessagesThatMissTheirObjectiveAsOverload) {
  BalancerConfig config = default_config();
  config.traffic_classes[0].message_latency_objective = 60 * kMillisecond;
  BalancerFixture fixture(2, config);
  fixture.establish_sessions(1, 20);

  fixture.report_message_latency(*fixture.backends[0], 55 * kMillisecond);
  EXPECT_TRUE(fixture.actions.migrated_sessions.empty());

  fixture.report_message_latency(*fixture.backends[0],
                                 100 * kMillisecond);  // a quarter of the attempt objective
  EXPECT_FALSE(fixture.actions.migrated_sessions.empty());
}

// At a mean latency of two thirds of the objective, some messages miss it.
TEST(Capacity, ABackendNearItsMessageObjectiveKeepsItsSessionsAndGetsNoNewOnes) {
  BalancerFixture fixture(4);
  fixture.establish_sessions(1, 60);
  Backend& backend = *fixture.backends[0];
  const std::size_t held = backend.sessions.size();
  const std::size_t attempts = fixture.attempts_to(backend);
  ASSERT_GE(held, 2u);

  fixture.report_message_latency(backend, 100 * kMillisecond);
  fixture.establish_sessions(100, 30);

  EXPECT_LE(fixture.attempts_to(backend), attempts + 1);
  EXPECT_EQ(backend.sessions.size(), held + fixture.attempts_to(backend) - attempts);
  EXPECT_TRUE(fixture.actions.migrated_sessions.empty() && fixture.actions.rejections.empty());
}

TEST(Capacity, IsNotReducedBySingleBrokenConnections) {
  BalancerFixture fixture(4);
  fixture.establish_sessions(1, 40);

  for (int round = 0; round < 8; ++round) {
    fixture.actions.advance(3 * kSecond);
    for (const auto& backend : fixture.backends)
      fixture.end_attempt(*backend->sessions.back(), AttemptResult::reset, true);
  }
  for (std::uint64_t key = 100; key <= 110; ++key) fixture.request_session(key);

  EXPECT_TRUE(fixture.actions.rejections.empty());
  EXPECT_TRUE(fixture.actions.migrated_sessions.empty());
}

// Connections that break at the same moment are reported over some milliseconds. After a restart, the limit
// learned from the previous process no longer applies.
TEST(Capacity, ARestartedBackendGetsSessionsAgainAfterACrash) {
  BalancerFixture fixture(1);
  Backend& backend = *fixture.backends[0];
  fixture.establish_sessions(1, 10);

  while (!backend.sessions.empty()) {
    fixture.end_attempt(*backend.sessions.back(), AttemptResult::reset, true);
    fixture.actions.advance(kMillisecond);
  }
  fixture.establish_sessions(11, 10);
  EXPECT_EQ(backend.sessions.size(), 10u);

  fixture.actions.advance(5 * kSecond);
  for (int i = 0; i < 6; ++i) fixture.end_attempt(*backend.sessions.back(), AttemptResult::reset, true);
  fixture.balancer.update_endpoint(fixture.backends[0], EndpointState::ready, 1,
                                   fixture.actions.current_time - 30 * kSecond);
  fixture.establish_sessions(21, 10);
  EXPECT_EQ(backend.sessions.size(), 14u);
}

// A report of low load restores the limit to the load held before, and from there the limit only grows, also
// with a short slow-start duration.
TEST(Capacity, IsNeverReducedByReportsOfLowLoad) {
  BalancerConfig config = default_config();
  config.slow_start_duration = kSecond;
  BalancerFixture fixture(1, config);
  Backend& backend = *fixture.backends[0];
  fixture.establish_sessions(1, 10);
  fixture.report_message_latency(backend, 500 * kMillisecond);
  EXPECT_GT(fixture.actions.migrated_sessions.size(), 0u);
  fixture.end_migrated_sessions();
  const std::uint64_t group = backend.sessions[0]->client_key;

  fixture.actions.advance(3300 * kMillisecond);
  for (int i = 0; i < 10; ++i) fixture.establish_session(group);
  const std::size_t rejected = fixture.actions.rejections.size();
  EXPECT_GT(rejected, 0u);  // more than three slow-start durations are too short to recover without reports

  for (int i = 0; i < 12; ++i) {
    fixture.actions.advance(kSecond);
    fixture.report_utilization(backend, 0.2);
    if (i > 3) fixture.establish_session(group);
  }
  EXPECT_EQ(fixture.actions.rejections.size(), rejected);
}

// A burst of attempts delays messages for a moment; the report after it shows that the backend has capacity.
TEST(Capacity, AReportOfSpareCapacityRestoresTheLimitReducedByABurst) {
  const auto rejected = [](Micros time_before_burst) {
    BalancerFixture fixture(1);
    fixture.establish_sessions(1, 20);
    fixture.actions.advance(time_before_burst);
    fixture.balancer.on_message_latency_reported(*fixture.sessions[0], 200 * kMillisecond);
    fixture.end_migrated_sessions();
    fixture.actions.advance(100 * kMillisecond);

    fixture.report_utilization(*fixture.backends[0], 0.6);

    const std::uint64_t group = fixture.backends[0]->sessions[0]->client_key;
    for (int i = 0; i < 4; ++i) fixture.establish_session(group);
    return fixture.actions.rejections.size();
  };

  EXPECT_EQ(rejected(3 * kSecond), 0u);
  EXPECT_GE(rejected(0), 3u);  // the report may have been taken before the burst
}

TEST(Capacity, ANearlyFullBackendKeepsItsSessionsAndAnOverloadedOneShedsSome) {
  BalancerFixture fixture(1);
  fixture.establish_sessions(1, 20);

  fixture.report_utilization(*fixture.backends[0], 0.85);
  EXPECT_TRUE(fixture.actions.migrated_sessions.empty());
  EXPECT_EQ(fixture.final_answers(fixture.request_session(99)), 1u);

  fixture.actions.advance(kSecond);
  fixture.report_utilization(*fixture.backends[0], 1.1);
  EXPECT_FALSE(fixture.actions.migrated_sessions.empty());
}

// One of many relays holds few sessions on each backend.
TEST(Capacity, OneBrokenSessionDoesNotExcludeItsBackendPermanently) {
  BalancerFixture fixture(40);
  Session& session = fixture.establish_session(5);
  Backend& backend = *session.backend;

  fixture.end_attempt(session, AttemptResult::reset, true);
  fixture.actions.advance(15 * kSecond);

  EXPECT_EQ(fixture.request_session(5).backend.get(), &backend);
}

}  // namespace
}  // namespace cherryrail::testing
