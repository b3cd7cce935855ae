// Backends and network paths to zones that are slow independently of their load.
#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "support/balancer_fixture.hpp"

namespace cherryrail::testing {
namespace {

// Reports this latency once a second for every backend of the zone that holds sessions.
void report_zone_latency(BalancerFixture& fixture, unsigned zone, Micros latency, int seconds) {
  for (int i = 0; i < seconds; ++i) {
    for (const auto& backend : fixture.backends) {
      if (backend->zone == zone && !backend->sessions.empty())
        fixture.report_message_latency(*backend, latency);
    }
    fixture.actions.advance(kSecond);
  }
}

// With a hanging process, or a network path that is slow for this relay alone, shedding a part of the load
// again and again does not help.
TEST(LatencyOutliers, MigratesAllSessionsWhoseObjectiveAConstantlySlowBackendCannotMeet) {
  BalancerConfig config = default_config();
  config.traffic_classes.push_back(config.traffic_classes[0]);
  config.traffic_classes[1].index = 1;
  config.traffic_classes[1].message_latency_objective = kSecond;
  BalancerFixture fixture(0, config);
  Backend& slow = fixture.add_backend(0, 1);
  for (int i = 0; i < 3; ++i) fixture.add_backend(0, 0);
  for (std::uint64_t key = 1; key <= 40; ++key) {
    Session& session = fixture.make_session(key);
    session.traffic_class = &fixture.balancer.traffic_classes()[key % 2];
    fixture.balancer.admit(fixture.sessions.back());
    fixture.balancer.on_established(session, 20 * kMillisecond);
  }
  const std::size_t attempts = fixture.attempts_to(slow);
  ASSERT_GE(attempts, 6u);

  report_zone_latency(fixture, 1, 300 * kMillisecond, 3);

  EXPECT_TRUE(std::all_of(slow.sessions.begin(), slow.sessions.end(), [](const Session* session) {
    return session->is_migration_queued || session->traffic_class->index == 1;
  }));
  EXPECT_TRUE(std::any_of(slow.sessions.begin(), slow.sessions.end(),
                          [](const Session* session) { return !session->is_migration_queued; }));
  fixture.establish_sessions(100, 20);
  EXPECT_EQ(fixture.attempts_to(slow), attempts);
}

// Guards against clients without answers at a slow backend that hangs while no faster one can accept them.
TEST(LatencyOutliers, UnresponsiveSessionWaitsForNoFasterBackend) {
  BalancerFixture fixture(0);
  Backend& slow = fixture.add_backend(0, 1);
  fixture.add_backend(0, 0);
  fixture.establish_sessions(1, 40);
  report_zone_latency(fixture, 1, 300 * kMillisecond, 2);
  fixture.report_message_latency(slow, 300 * kMillisecond);
  fixture.set_endpoint_state(1, EndpointState::gone);
  fixture.actions.advance(2 * kSecond);
  const auto& migrated = fixture.actions.migrated_sessions;
  const auto is_waiting = [&](const Session* session) {
    return session->is_migration_queued && std::ranges::count(migrated, session) == 0;
  };
  const auto waiting = std::ranges::find_if(slow.sessions, is_waiting);
  ASSERT_NE(waiting, slow.sessions.end());
  Session* const session = *waiting;

  fixture.balancer.on_session_unresponsive(*session);
  fixture.actions.advance(3 * kSecond);

  EXPECT_EQ(std::ranges::count(migrated, session), 1);
}

// Two backends of six meet the objective. Measured together with the slow ones they seem full, and the first
// reports look like general overload.
TEST(LatencyOutliers, TheFewBackendsThatMeetTheObjectiveTakeOverFromTheSlowOnes) {
  BalancerFixture fixture(6);
  fixture.establish_sessions(1, 36);
  const auto was_migrated = [&](const Session* session) {
    const auto& migrated = fixture.actions.migrated_sessions;
    return std::count(migrated.begin(), migrated.end(), session) > 0;
  };

  for (int i = 0; i < 6; ++i) {
    for (std::size_t index = 0; index < 4; ++index) {
      if (!fixture.backends[index]->sessions.empty())
        fixture.report_message_latency(*fixture.backends[index], 400 * kMillisecond);
    }
    for (const auto& session : fixture.sessions) {
      if (was_migrated(session.get()) && session->backend)
        fixture.end_attempt(*session, AttemptResult::cancelled, true);
    }
    fixture.actions.advance(kSecond);
  }

  std::size_t held_by_slow_backends = 0;
  for (std::size_t index = 0; index < 4; ++index)
    held_by_slow_backends += fixture.backends[index]->sessions.size();
  EXPECT_EQ(held_by_slow_backends, 0u);

  fixture.establish_sessions(100, 24);
  EXPECT_LE(fixture.actions.rejections.size(), 2u);
}

TEST(LatencyOutliers, TreatsVaryingLatencyAsOverloadAndShedsAPartOfTheLoad) {
  BalancerFixture fixture(3);
  fixture.establish_sessions(1, 40);

  for (const Micros latency : {200, 300, 250, 180}) {
    fixture.report_message_latency(*fixture.backends[0], latency * kMillisecond);
    fixture.actions.advance(kSecond);
  }

  EXPECT_FALSE(fixture.actions.migrated_sessions.empty());
  const auto queued =
      std::count_if(fixture.backends[0]->sessions.begin(), fixture.backends[0]->sessions.end(),
                    [](const Session* session) { return session->is_migration_queued; });
  EXPECT_LT(queued, std::ssize(fixture.backends[0]->sessions));
}

TEST(LatencyOutliers, AvoidsARelapsingBackendLongerEachTimeButNotPermanently) {
  BalancerFixture fixture(3);
  Backend& relapsing = *fixture.backends[0];
  std::vector<Micros> avoided_for;
  std::uint64_t key = 0;

  for (int relapse = 0; relapse < 3; ++relapse) {
    while (relapsing.sessions.empty()) {
      fixture.establish_session(++key);
      fixture.actions.advance(10 * kMillisecond);
    }
    Session& session = *relapsing.sessions[0];
    for (int i = 0; i < 3; ++i) {
      fixture.balancer.on_message_latency_reported(session, 5 * kSecond);
      fixture.actions.advance(kSecond);
    }
    for (const auto& held : fixture.sessions) {
      if (held->backend.get() == &relapsing) fixture.end_attempt(*held, AttemptResult::cancelled, true);
    }

    const Micros from = fixture.actions.current_time;
    const std::size_t attempts = fixture.attempts_to(relapsing);
    while (fixture.attempts_to(relapsing) == attempts && fixture.actions.current_time < from + 60 * kSecond) {
      fixture.end_attempt(fixture.establish_session(++key), AttemptResult::succeeded, true);
      fixture.actions.advance(50 * kMillisecond);
    }
    avoided_for.push_back(fixture.actions.current_time - from);
  }

  EXPECT_GT(avoided_for[1], avoided_for[0] * 3 / 2);
  EXPECT_GT(avoided_for[2], avoided_for[1] * 3 / 2);
  EXPECT_LT(avoided_for[2], 30 * kSecond);
}

// All backends in another zone are slow by the same latency: none of them is at fault, and the untried ones
// there would be as slow.
TEST(LatencyOutliers, AvoidsAZoneBehindASlowPathOnlyForAWhile) {
  BalancerFixture fixture(0);
  for (unsigned i = 0; i < 12; ++i) fixture.add_backend(0, i % 2);
  fixture.establish_sessions(1, 12);
  const auto attempts_in_slow_zone = [&] {
    std::size_t attempts = 0;
    for (const auto& backend : fixture.backends)
      attempts += backend->zone == 1 ? fixture.attempts_to(*backend) : 0;
    return attempts;
  };

  report_zone_latency(fixture, 1, 400 * kMillisecond, 3);
  const std::size_t before = attempts_in_slow_zone();
  fixture.establish_sessions(100, 30);
  EXPECT_EQ(attempts_in_slow_zone(), before);
  EXPECT_TRUE(fixture.actions.rejections.empty());

  fixture.actions.advance(3 * kSecond);
  fixture.establish_sessions(200, 30);
  EXPECT_GT(attempts_in_slow_zone(), before);
}

// One round of reports is enough if all backends of a zone report the same latency: the limits reduced for
// the overload that each seemed to have are removed.
TEST(LatencyOutliers, TreatsEqualLatencyInAZoneAsASlowPathAndDifferingLatencyAsLoad) {
  const auto places_in_slow_zone = [](Micros difference) {
    BalancerFixture fixture(0);
    for (unsigned i = 0; i < 12; ++i) fixture.add_backend(0, i % 2);
    fixture.establish_sessions(1, 12);
    Micros latency = 400 * kMillisecond;
    for (const auto& backend : fixture.backends) {
      if (backend->zone != 1 || backend->sessions.empty()) continue;
      latency += difference;
      fixture.report_message_latency(*backend, latency);
    }
    const std::size_t before = fixture.actions.attempts.size();
    fixture.establish_sessions(100, 30);
    return std::any_of(fixture.actions.attempts.begin() + static_cast<std::ptrdiff_t>(before),
                       fixture.actions.attempts.end(),
                       [](const auto& attempt) { return attempt.backend->zone == 1; });
  };

  EXPECT_FALSE(places_in_slow_zone(2 * kMillisecond));
  EXPECT_TRUE(places_in_slow_zone(kSecond));
}

}  // namespace
}  // namespace cherryrail::testing
