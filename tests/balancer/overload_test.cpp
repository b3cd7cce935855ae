// Which sessions a relay serves while many backends are overloaded, and what it infers about unknown
// backends.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

#include "support/balancer_fixture.hpp"

namespace cherryrail::testing {
namespace {

TEST(Overload, WhileMostBackendsAreOverloadedTheOthersGetNoAdditionalLoad) {
  BalancerFixture fixture(4);
  fixture.establish_sessions(1, 24);
  for (std::size_t i = 0; i < 3; ++i) fixture.report_message_latency(*fixture.backends[i], kSecond);
  const std::size_t before = fixture.backends[3]->sessions.size();

  for (std::uint64_t key = 100; key <= 120; ++key) fixture.request_session(key);

  EXPECT_LE(fixture.backends[3]->sessions.size(), before);
}

// The few backends that are not overloaded must not get all load while the others run nearly empty.
TEST(Overload, SharesShedLoadWithinTheCap) {
  BalancerFixture fixture(4);
  fixture.establish_sessions(1, 40);
  for (std::size_t i = 0; i < 2; ++i) fixture.report_message_latency(*fixture.backends[i], kSecond);
  fixture.end_migrated_sessions();
  fixture.actions.advance(2 * kSecond);

  fixture.establish_sessions(100, 100);

  std::size_t held = 0;
  std::size_t most = 0;
  for (const auto& backend : fixture.backends) {
    held += backend->sessions.size();
    most = std::max(most, backend->sessions.size());
  }
  EXPECT_LE(most, held / 2 + 1);  // twice the mean of four
  EXPECT_GT(fixture.backends[0]->sessions.size() + fixture.backends[1]->sessions.size(), held / 4);
}

// Every backend that holds a member of a group bears the cost of the whole group.
TEST(Overload, KeepsAGroupOnItsBackend) {
  BalancerFixture fixture(2);
  fixture.establish_sessions(1, 40);
  for (const auto& backend : fixture.backends) fixture.report_message_latency(*backend, 300 * kMillisecond);
  fixture.end_migrated_sessions();
  Backend& backend = *fixture.backends[0];
  for (int i = 0; i < 3; ++i) fixture.end_attempt(*backend.sessions.back(), AttemptResult::cancelled, true);
  const std::uint64_t known_group = backend.sessions[0]->hash_key;
  const std::uint64_t unknown_group = 9999;

  EXPECT_EQ(fixture.final_answers(fixture.request_session(unknown_group)), 1u);
  EXPECT_EQ(fixture.request_session(known_group).backend.get(), &backend);
}

TEST(Overload, RejectsATenantOverItsShareOnlyDuringOverload) {
  BalancerConfig config = default_config();
  config.tenant_shares = {3, 100};
  BalancerFixture fixture(4, config);
  const auto establish = [&](std::size_t tenant, std::uint64_t key) -> Session& {
    Session& session = fixture.make_session(key);
    session.tenant = tenant;
    fixture.balancer.admit(fixture.sessions.back());
    if (session.backend) fixture.balancer.on_established(session, 20 * kMillisecond);
    return session;
  };

  for (std::uint64_t key = 1; key <= 12; ++key) EXPECT_EQ(fixture.final_answers(establish(key % 2, key)), 0u);

  fixture.report_message_latency(*fixture.backends[0], 300 * kMillisecond);
  EXPECT_EQ(fixture.final_answers(establish(0, 50)), 1u);
  EXPECT_EQ(fixture.final_answers(establish(1, fixture.backends[1]->sessions[0]->client_key)), 0u);
}

// Thirty relays hold one session each on one overloaded backend. Not all of them migrate it, and members of
// one group are kept or migrated together.
TEST(Overload, RelaysWithOneSessionEachShedTheSameGroups) {
  std::map<std::uint64_t, std::set<bool>> was_migrated;
  for (std::uint64_t relay = 0; relay < 30; ++relay) {
    BalancerFixture fixture(1);
    fixture.establish_session(100 + relay % 10);
    fixture.balancer.on_message_latency_reported(*fixture.sessions[0], 300 * kMillisecond);
    was_migrated[relay % 10].insert(!fixture.actions.migrated_sessions.empty());
  }

  std::size_t migrated_groups = 0;
  for (const auto& [group, outcomes] : was_migrated) {
    EXPECT_EQ(outcomes.size(), 1u);
    migrated_groups += outcomes.contains(true) ? 1 : 0;
  }
  EXPECT_LE(migrated_groups, 5u);
}

// A relay that knows few backends, most of them overloaded, assumes the same of the unknown ones.
TEST(Overload, InfersTheCapacityOfUnknownBackendsFromTheKnown) {
  const auto rejected = [](bool overloaded) {
    BalancerFixture fixture(40);
    fixture.establish_sessions(1, 3);
    for (int i = 0; overloaded && i < 2; ++i) {
      for (std::size_t session = 0; session < 3; ++session)
        fixture.balancer.on_message_latency_reported(*fixture.sessions[session], kSecond);
      fixture.actions.advance(kSecond);
    }

    std::size_t count = 0;
    for (std::uint64_t key = 100; key < 140; ++key)
      count += fixture.final_answers(fixture.request_session(key));
    return count;
  };

  EXPECT_EQ(rejected(false), 0u);
  EXPECT_GE(rejected(true), 10u);
  EXPECT_LE(rejected(true), 38u);  // but it does not exclude them
}

// A release during such an overload: a backend that has just started is empty, and would stay empty if its
// capacity were inferred from the others.
TEST(Overload, InfersNothingForBackendsThatHaveJustStarted) {
  BalancerFixture fixture(3);
  fixture.establish_sessions(1, 12);
  for (int i = 0; i < 30; ++i) fixture.add_backend(fixture.actions.current_time - 15 * kSecond);
  for (int i = 0; i < 2; ++i) {
    for (const auto& session : fixture.sessions)
      fixture.balancer.on_message_latency_reported(*session, kSecond);
    fixture.actions.advance(kSecond);
  }

  std::size_t rejected = 0;
  for (std::uint64_t key = 100; key < 140; ++key)
    rejected += fixture.final_answers(fixture.request_session(key));

  EXPECT_EQ(rejected, 0u);
}

// A relay that has just started knows one backend, which a health check found overloaded.
TEST(Overload, OneOverloadReportDoesNotMakeAStartingRelayRejectClients) {
  BalancerFixture fixture(9);
  fixture.report_utilization(*fixture.backends[4], 0.96, 10 * kMillisecond);

  fixture.establish_sessions(1, 30);

  EXPECT_LE(fixture.actions.rejections.size(), 1u);
}

// Backends that report low load count as known: two overloaded of six known ones are no general overload.
TEST(Overload, ReportsOfLowLoadPreventGeneralOverload) {
  BalancerFixture fixture(6);
  for (std::size_t i = 0; i < 6; ++i) {
    const bool is_overloaded = i == 0 || i == 5;
    fixture.report_utilization(*fixture.backends[i], is_overloaded ? 0.96 : 0.3, 10 * kMillisecond);
    fixture.actions.advance(500 * kMillisecond);
  }

  fixture.establish_sessions(1, 30);

  EXPECT_LE(fixture.actions.rejections.size(), 1u);
}

}  // namespace
}  // namespace cherryrail::testing
