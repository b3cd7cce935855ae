// Tests of the state that a process hands over to its successor in a hot restart.
#include <gtest/gtest.h>

#include <cstddef>
#include <limits>
#include <vector>

#include "support/balancer_fixture.hpp"

namespace cherryrail::testing {
namespace {

// Two processes that use the same relay's admission slots would send a warming-up backend twice its share.
TEST(StateSnapshot, ExportingProcessStartsNoAttemptAtAWarmingUpBackend) {
  BalancerFixture fixture(1);
  const Backend& warming_up = fixture.add_backend(fixture.actions.current_time);
  fixture.balancer.export_state();

  for (int i = 0; i < 40; ++i) {
    fixture.establish_session(static_cast<std::uint64_t>(i) + 1);
    fixture.actions.advance(kSecond / 4);
  }

  EXPECT_EQ(fixture.attempts_to(warming_up), 0u);
  EXPECT_EQ(fixture.attempts_to(*fixture.backends[0]), 40u);
}

// Without the handover, a relay that is hot-restarted often would only ever know a few minutes of its
// backends' history.
TEST(StateSnapshot, RestoresBackendStateExceptOfBackendsThatRestarted) {
  BalancerFixture fixture(3);
  for (int i = 0; i < 200 && !fixture.backends[0]->outlier.is_ejected(); ++i) {
    Session& session = fixture.request_session(static_cast<std::uint64_t>(i) + 1);
    if (session.backend.get() == fixture.backends[0].get())
      fixture.end_attempt(session, AttemptResult::error);
    else if (session.backend)
      fixture.balancer.on_established(session, 20 * kMillisecond);
  }
  ASSERT_TRUE(fixture.backends[0]->outlier.is_ejected());
  fixture.balancer.set_disabled(*fixture.backends[1], true);
  fixture.actions.advance(kSecond);
  fixture.balancer.set_disabled(*fixture.backends[1], false);  // counts as warming up from now on

  BalancerFixture successor(3);
  successor.actions.current_time = fixture.actions.current_time;
  successor.balancer.import_state(fixture.balancer.export_state());
  EXPECT_TRUE(successor.backends[0]->outlier.is_ejected());
  EXPECT_EQ(successor.backends[1]->slow_start.started_at(), fixture.backends[1]->slow_start.started_at());

  BalancerFixture better_informed(3);  // its endpoint list has a start that the predecessor did not know
  better_informed.balancer.update_endpoint(better_informed.backends[0], EndpointState::ready, 1,
                                           better_informed.actions.current_time - kSecond);
  better_informed.balancer.import_state(fixture.balancer.export_state());
  EXPECT_FALSE(better_informed.backends[0]->outlier.is_ejected());
}

// Guards against a warming-up backend that counts as warm after a hot restart, because the successor's
// endpoint list is older than the backend's start.
TEST(StateSnapshot, TheLaterStartOfABackendCounts) {
  BalancerFixture fixture(2);
  const Micros started_at = fixture.actions.current_time - kSecond;
  fixture.balancer.update_endpoint(fixture.backends[0], EndpointState::ready, 1, started_at);
  BalancerFixture successor(2);
  successor.actions.current_time = fixture.actions.current_time;
  successor.balancer.update_endpoint(successor.backends[0], EndpointState::ready, 1, 5 * kSecond);

  successor.balancer.import_state(fixture.balancer.export_state());

  EXPECT_EQ(successor.backends[0]->slow_start.started_at(), started_at);
}

// Both processes read the wall clock when they started, and it was set back by an hour in between.
TEST(StateSnapshot, ShiftsTimesToTheSuccessorsClockExceptReservedValues) {
  constexpr Micros kShift = -3600 * kSecond;
  StateSnapshot snapshot;
  snapshot.balancer_started_at = 9000 * kSecond;
  snapshot.admission_slots_from = std::numeric_limits<Micros>::max();
  snapshot.backends.resize(1);
  snapshot.backends[0].started_at = 9001 * kSecond;
  snapshot.backends[0].reported_started_at = 9001 * kSecond;

  shift_times(snapshot, kShift);

  EXPECT_EQ(snapshot.balancer_started_at, 5400 * kSecond);
  EXPECT_EQ(snapshot.admission_slots_from, std::numeric_limits<Micros>::max());
  EXPECT_EQ(snapshot.general_overload_until, 0);
  EXPECT_EQ(snapshot.backends[0].started_at, 5401 * kSecond);
  EXPECT_EQ(snapshot.backends[0].reported_started_at, 9001 * kSecond);
  EXPECT_EQ(snapshot.backends[0].capacity_reduced_at, 0);
}

// The state of the largest fleet does not fit into one message.
TEST(StateSnapshot, SplitPartsAreEquivalentToTheWhole) {
  StateSnapshot snapshot;
  snapshot.new_sessions = 7;
  snapshot.recent_retries = 3;
  snapshot.health_check_tokens = 2.5;
  snapshot.admission_slots_from = 11;
  snapshot.backends.resize(3200);
  for (std::size_t i = 0; i < snapshot.backends.size(); ++i) snapshot.backends[i].name = i;

  const std::vector<StateSnapshot> parts = split(snapshot, 1000);

  ASSERT_EQ(parts.size(), 4u);
  EXPECT_EQ(parts[0].new_sessions + parts[1].new_sessions + parts[2].new_sessions + parts[3].new_sessions,
            7u);
  EXPECT_EQ(parts[0].recent_retries + parts[1].recent_retries + parts[2].recent_retries, 3);
  EXPECT_EQ(parts[3].health_check_tokens, 2.5);
  EXPECT_EQ(parts[3].admission_slots_from, 11);
  EXPECT_EQ(parts[0].backends.size(), 1000u);
  EXPECT_EQ(parts[3].backends.front().name, 3000u);
  EXPECT_EQ(parts[3].backends.back().name, 3199u);
  EXPECT_EQ(split(StateSnapshot{}, 1000).size(), 1u);
}

}  // namespace
}  // namespace cherryrail::testing
