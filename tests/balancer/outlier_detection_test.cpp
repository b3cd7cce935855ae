// Tests of the ejection of failing and unresponsive backends, and of their recovery.
#include <gtest/gtest.h>

#include <algorithm>

#include "support/balancer_fixture.hpp"

namespace cherryrail::testing {
namespace {

TEST(OutlierDetection, EjectsAFailingBackendAndReadmitsItOnRecovery) {
  BalancerFixture fixture(6);
  Backend& failing = *fixture.backends[0];
  const auto serve = [&](int sessions, bool has_recovered) {
    for (int i = 0; i < sessions; ++i) {
      Session& session = fixture.request_session(fixture.actions.attempts.size() * 31 + 1);
      while (session.backend.get() == &failing && !has_recovered)
        fixture.end_attempt(session, AttemptResult::error);
      if (session.backend) fixture.balancer.on_established(session, 20 * kMillisecond);
      if (session.backend) fixture.end_attempt(session, AttemptResult::succeeded, true);
      fixture.actions.advance(50 * kMillisecond);
    }
  };

  serve(60, false);
  EXPECT_TRUE(failing.outlier.is_ejected());

  const std::size_t at_ejection = fixture.attempts_to(failing);
  serve(100, false);  // five seconds
  EXPECT_LE(fixture.attempts_to(failing) - at_ejection, 5u);

  serve(400, true);
  EXPECT_FALSE(failing.outlier.is_ejected());
}

// When all backends fail together the cause is shared, and ejecting backends would overload the rest.
TEST(OutlierDetection, EjectsAtMostHalfWhenAllBackendsFailTogether) {
  BalancerFixture fixture(6);

  for (std::uint64_t key = 1; key <= 60; ++key) {
    Session& session = fixture.request_session(key);
    const AttemptResult result = key % 3 != 0 ? AttemptResult::timed_out : AttemptResult::error;
    while (session.backend) fixture.end_attempt(session, result);
    fixture.actions.advance(20 * kMillisecond);
  }

  const auto ejected = std::count_if(fixture.backends.begin(), fixture.backends.end(),
                                     [](const auto& backend) { return backend->outlier.is_ejected(); });
  EXPECT_LE(ejected, 3);
}

TEST(OutlierDetection, MigratesSessionsOfAnUnresponsiveBackendThatIsListedAsReady) {
  BalancerConfig config = default_config();
  config.may_check_health = true;
  BalancerFixture fixture(4, config);
  fixture.establish_sessions(1, 12);
  Backend& unresponsive = *fixture.sessions[0]->backend;
  const std::size_t held = unresponsive.sessions.size();

  fixture.answer_health_checks(unresponsive, AttemptResult::timed_out, 400);

  EXPECT_EQ(fixture.actions.migrated_sessions.size(), held);
  for (const Session* session : fixture.actions.migrated_sessions)
    EXPECT_EQ(session->backend.get(), &unresponsive);
}

TEST(OutlierDetection, UnresponsiveBackendRecoversByHealthChecksWithoutCapacityLimit) {
  BalancerConfig config = default_config();
  config.may_check_health = true;
  BalancerFixture fixture(4, config);
  fixture.establish_sessions(1, 12);
  Backend& unreachable = *fixture.sessions[0]->backend;
  while (!unreachable.sessions.empty())  // the link breaks and resets all sessions
    fixture.end_attempt(*unreachable.sessions.back(), AttemptResult::reset, true);

  fixture.answer_health_checks(unreachable, AttemptResult::timed_out, 400);
  EXPECT_TRUE(unreachable.outlier.is_ejected());

  fixture.answer_health_checks(unreachable, AttemptResult::succeeded, 200);
  EXPECT_FALSE(unreachable.outlier.is_ejected());

  const std::size_t before = fixture.attempts_to(unreachable);
  fixture.establish_sessions(1, 40);
  // Losing all sessions at once says nothing about the capacity, but the backend may have restarted without
  // discovery reporting it, so it counts as warming up.
  EXPECT_GT(fixture.attempts_to(unreachable), before);
  EXPECT_LE(fixture.attempts_to(unreachable), before + 4);
}

// A backend that is short of connection slots refuses some connections, which does not make it an outlier.
TEST(OutlierDetection, DoesNotEjectABackendThatRefusesSomeConnections) {
  BalancerFixture fixture(6);
  Backend& crowded = *fixture.backends[0];

  unsigned attempts = 0;
  for (std::uint64_t key = 1; key <= 400; ++key) {
    Session& session = fixture.request_session(key * 7919);
    while (session.backend.get() == &crowded && ++attempts % 3 == 0)
      fixture.end_attempt(session, AttemptResult::connect_failed);
    if (session.backend) fixture.balancer.on_established(session, 20 * kMillisecond);
    if (session.backend) fixture.end_attempt(session, AttemptResult::succeeded, true);
    fixture.actions.advance(50 * kMillisecond);
    ASSERT_FALSE(crowded.outlier.is_ejected());
  }

  EXPECT_GE(attempts, 40u);
  EXPECT_TRUE(fixture.actions.rejections.empty());
}

}  // namespace
}  // namespace cherryrail::testing
