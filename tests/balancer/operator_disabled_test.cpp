// Tests of backends disabled by an operator, combined with their state in the endpoint list.
#include <gtest/gtest.h>

#include "support/balancer_fixture.hpp"

namespace cherryrail::testing {
namespace {

TEST(OperatorDisabled, DisabledBackendGetsNoSessionInAnyReportedState) {
  BalancerFixture fixture(2);
  Backend& disabled = *fixture.backends[0];
  while (fixture.attempts_to(disabled) == 0) fixture.establish_session(fixture.sessions.size() + 1);

  fixture.balancer.set_disabled(disabled, true);
  EXPECT_FALSE(fixture.actions.migrated_sessions.empty());

  const std::size_t before = fixture.attempts_to(disabled);
  fixture.set_endpoint_state(0, EndpointState::ready);
  fixture.set_endpoint_state(0, EndpointState::gone);
  fixture.set_endpoint_state(0, EndpointState::ready);
  fixture.establish_sessions(100, 30);
  EXPECT_EQ(fixture.attempts_to(disabled), before);
}

TEST(OperatorDisabled, EnablingOnceRestoresTheReportedState) {
  BalancerFixture fixture(2);
  Backend& backend = *fixture.backends[0];

  fixture.balancer.set_disabled(backend, true);
  fixture.set_endpoint_state(0, EndpointState::ready);
  fixture.set_endpoint_state(0, EndpointState::gone);
  fixture.set_endpoint_state(0, EndpointState::ready);
  fixture.balancer.set_disabled(backend, true);
  fixture.balancer.set_disabled(backend, false);
  EXPECT_EQ(backend.state, EndpointState::ready);

  fixture.balancer.set_disabled(backend, true);
  fixture.set_endpoint_state(0, EndpointState::draining);
  fixture.balancer.set_disabled(backend, false);
  EXPECT_EQ(backend.state, EndpointState::draining);
}

// A backend was most likely restarted while it was disabled, but the endpoint list may report the start late.
// Full load would overload it until then.
TEST(OperatorDisabled, EnabledBackendIsWarmingUpUntilTheListReportsItsStart) {
  BalancerFixture fixture(2);
  Backend& backend = *fixture.backends[0];

  fixture.balancer.set_disabled(backend, true);
  fixture.actions.advance(3 * kSecond);
  fixture.balancer.set_disabled(backend, false);
  EXPECT_EQ(backend.slow_start.started_at(), fixture.actions.current_time);

  fixture.balancer.update_endpoint(fixture.backends[0], EndpointState::ready, 1,
                                   fixture.actions.current_time - kSecond);
  EXPECT_EQ(backend.slow_start.started_at(), fixture.actions.current_time - kSecond);

  fixture.balancer.set_disabled(backend, true);
  fixture.actions.advance(3 * kSecond);
  fixture.balancer.update_endpoint(fixture.backends[0], EndpointState::ready, 1,
                                   fixture.actions.current_time - kSecond);  // reported while disabled
  fixture.balancer.set_disabled(backend, false);
  EXPECT_EQ(backend.slow_start.started_at(), fixture.actions.current_time - kSecond);
}

}  // namespace
}  // namespace cherryrail::testing
