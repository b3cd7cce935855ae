// Placement of new sessions on backends by key, load and zone.
#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "support/balancer_fixture.hpp"

namespace cherryrail::testing {
namespace {

TEST(Placement, SelectsTheSameBackendForAKeyAtEveryRelay) {
  BalancerFixture first_relay(8);
  BalancerFixture second_relay(8);

  for (std::uint64_t key = 1; key <= 8; ++key) {
    EXPECT_EQ(first_relay.establish_session(key).backend->name,
              second_relay.establish_session(key).backend->name);
  }
}

TEST(Placement, SpreadsAHotKeyOnceItsPreferredBackendsReachTheirCap) {
  BalancerFixture fixture(8);

  std::set<const Backend*> used;
  for (int i = 0; i < 40; ++i) used.insert(fixture.establish_session(5).backend.get());

  EXPECT_GT(used.size(), 4u);
  for (const auto& backend : fixture.backends)
    EXPECT_LE(backend->sessions.size(), backend->zone == 0 ? 11u : 8u);  // the relay's own zone may hold more
}

TEST(Placement, PrefersTheLocalZoneOnlyAtLowUtilization) {
  const auto sessions_in_own_zone = [](double utilization) {
    BalancerFixture fixture(0, zone_aware_config());
    for (unsigned i = 0; i < 6; ++i) fixture.add_backend(0, i % 2);
    for (const auto& backend : fixture.backends) fixture.report_utilization(*backend, utilization);

    for (std::uint64_t key = 1; key <= 120; ++key) {
      fixture.establish_session(key * 7919);
      fixture.actions.advance(100 * kMillisecond);
    }

    std::size_t held = 0;
    for (const auto& backend : fixture.backends) held += backend->zone == 0 ? backend->sessions.size() : 0;
    return held;
  };

  EXPECT_GT(sessions_in_own_zone(0.2), 85u);
  EXPECT_LT(sessions_in_own_zone(0.6), 80u);
}

// A zone with one of ten backends would be overloaded by its own clients alone.
TEST(Placement, LimitsTheLocalZoneToAFewTimesItsShareOfTheFleet) {
  BalancerFixture fixture(0, zone_aware_config());
  for (unsigned i = 0; i < 20; ++i) fixture.add_backend(0, i < 2 ? 0 : 1);

  for (std::uint64_t key = 1; key <= 100; ++key)
    fixture.end_attempt(fixture.establish_session(key), AttemptResult::succeeded, true);

  const std::size_t in_own_zone =
      fixture.attempts_to(*fixture.backends[0]) + fixture.attempts_to(*fixture.backends[1]);
  EXPECT_GE(in_own_zone, 5u);
  EXPECT_LE(in_own_zone, 35u);
}

// A release drains all but one backend of the local zone. The one left must not receive the load of all five,
// and no client may be rejected.
TEST(Placement, SendsMostSessionsToOtherZonesWhenOneLocalBackendIsLeft) {
  BalancerFixture fixture(0, zone_aware_config());
  for (unsigned i = 0; i < 10; ++i) fixture.add_backend(0, i % 2);
  for (std::uint64_t key = 1; key <= 40; ++key)
    fixture.end_attempt(fixture.establish_session(key), AttemptResult::succeeded, true);

  for (std::size_t i = 2; i < 10; i += 2) fixture.set_endpoint_state(i, EndpointState::draining);
  const std::size_t before = fixture.attempts_to(*fixture.backends[0]);
  fixture.establish_sessions(100, 60);

  EXPECT_TRUE(fixture.actions.rejections.empty());
  EXPECT_LE(fixture.attempts_to(*fixture.backends[0]) - before, 24u);
  for (std::size_t i = 1; i < 10; i += 2) EXPECT_GE(fixture.backends[i]->sessions.size(), 3u);
}

// All clients of a stopped relay reconnect at once and would overload this relay's own zone.
TEST(Placement, SpreadsAReconnectStormOverAllZones) {
  BalancerFixture fixture(0, zone_aware_config());
  for (unsigned i = 0; i < 6; ++i) fixture.add_backend(0, i % 3);

  for (std::uint64_t key = 1; key <= 90; ++key) {
    Session& session = fixture.request_reconnect(key);
    if (session.backend) fixture.balancer.on_established(session, 20 * kMillisecond);
    fixture.actions.advance(10 * kMillisecond);
  }

  EXPECT_LE(fixture.backends[0]->sessions.size() + fixture.backends[3]->sessions.size(), 42u);
  EXPECT_GE(fixture.backends[0]->sessions.size() + fixture.backends[3]->sessions.size(), 18u);
}

// Uses the largest supported endpoint list and as many relays.
TEST(Placement, PlacesAndMigratesSessionsAmongTwelveHundredBackendsInAsManyZones) {
  constexpr std::size_t kBackends = 1200;
  BalancerConfig config = zone_aware_config();
  config.relay_count = kBackends;
  BalancerFixture fixture(0, config);
  for (unsigned i = 0; i < kBackends; ++i) fixture.add_backend(0, i);

  for (std::uint64_t key = 1; key <= 300; ++key) ASSERT_TRUE(fixture.establish_session(key * 7919).backend);

  std::set<const Backend*> used;
  for (const auto& session : fixture.sessions) used.insert(session->backend.get());
  EXPECT_GT(used.size(), 100u);  // the backend in the relay's own zone weighs more, but does not get all

  const auto fullest = std::max_element(
      fixture.backends.begin(), fixture.backends.end(),
      [](const auto& left, const auto& right) { return left->sessions.size() < right->sessions.size(); });
  const std::size_t held = (*fullest)->sessions.size();
  fixture.set_endpoint_state(static_cast<std::size_t>(fullest - fixture.backends.begin()),
                             EndpointState::draining);
  for (int i = 0; i < 10; ++i) fixture.actions.advance(kSecond);
  EXPECT_GE(fixture.actions.migrated_sessions.size(), held);
}

}  // namespace
}  // namespace cherryrail::testing
