// Tests of which backends get health checks, and how often, within the token budget that new sessions fill.
#include <gtest/gtest.h>

#include <algorithm>

#include "support/balancer_fixture.hpp"

namespace cherryrail::testing {
namespace {

TEST(HealthCheckScheduling, ChecksAnOverloadedBackendAtLeastAsOftenAsADeadOne) {
  BalancerFixture fixture(4, health_check_config(2));
  fixture.establish_sessions(1, 20);
  const Backend& overloaded = *fixture.backends[1];
  Backend& dead = *fixture.backends[0];
  fixture.answer_health_checks(dead, AttemptResult::connect_failed, 200);
  ASSERT_TRUE(dead.outlier.is_ejected());
  fixture.report_message_latency(overloaded, kSecond);
  const auto health_checks_of = [&](const Backend& backend) {
    return std::count(fixture.actions.health_checks.begin(), fixture.actions.health_checks.end(), &backend);
  };

  for (int i = 0; i < 50; ++i) {  // every check fails immediately
    const std::size_t seen = fixture.actions.health_checks.size();
    fixture.actions.advance(20 * kMillisecond);
    for (std::size_t index = seen; index < fixture.actions.health_checks.size(); ++index)
      fixture.balancer.on_health_check_ended(*fixture.actions.health_checks[index],
                                             {AttemptResult::connect_failed, kMillisecond}, {});
  }

  EXPECT_GE(health_checks_of(overloaded), 2);
  EXPECT_LE(health_checks_of(dead), 2);
}

TEST(HealthCheckScheduling, StaysWithinItsBudgetWhenManyBackendsFail) {
  BalancerFixture fixture(60, health_check_config(200));

  for (std::uint64_t key = 1; key <= 20; ++key) {
    Session& session = fixture.request_session(key);
    while (session.backend) fixture.end_attempt(session, AttemptResult::connect_failed);
  }
  fixture.actions.advance(20 * kSecond);

  EXPECT_GE(fixture.actions.health_checks.size(), 4u);
  EXPECT_LE(fixture.actions.health_checks.size(), 30u);  // each new session adds one token
}

// Without new sessions hardly any tokens are added; the saved ones have to last until the load is low again.
TEST(HealthCheckScheduling, SavedTokensLastWhileNoNewSessionsArrive) {
  BalancerFixture fixture(4, health_check_config(200));
  fixture.establish_sessions(1, 30);

  for (int i = 0; i < 30; ++i) {
    for (const auto& backend : fixture.backends) {
      if (!backend->sessions.empty()) fixture.report_message_latency(*backend, 200 * kMillisecond);
      if (backend->health_check.is_pending())
        fixture.balancer.on_health_check_ended(*backend, {AttemptResult::succeeded, kMillisecond}, {});
    }
    fixture.actions.advance(100 * kMillisecond);
  }

  EXPECT_GE(fixture.actions.health_checks.size(), 16u);
}

}  // namespace
}  // namespace cherryrail::testing
