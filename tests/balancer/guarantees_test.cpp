// The balancer's guarantees for every session (see Balancer).
#include <gtest/gtest.h>

#include "support/balancer_fixture.hpp"

namespace cherryrail::testing {
namespace {

TEST(Guarantees, EachSessionHasOneFinalAnswerBeforeItsTimeout) {
  BalancerFixture fixture(3);
  Session& session = fixture.request_session(1);

  fixture.actions.advance(kSecond * 19 / 10);
  EXPECT_EQ(fixture.final_answers(session), 0u);
  fixture.actions.advance(kSecond / 10 - 1);
  EXPECT_EQ(fixture.final_answers(session), 1u);
  EXPECT_EQ(fixture.actions.cancelled_sessions.size(), 1u);

  const std::size_t attempts = fixture.actions.attempts.size();
  fixture.end_attempt(session, AttemptResult::timed_out);
  fixture.actions.advance(5 * kSecond);
  EXPECT_EQ(fixture.final_answers(session), 1u);
  EXPECT_EQ(fixture.actions.attempts.size(), attempts);
}

TEST(Guarantees, SessionWithoutAnyBackendIsRejectedAtOnceWithRetryAfter) {
  BalancerFixture fixture(0);

  const Session& session = fixture.request_session(1);

  ASSERT_EQ(fixture.final_answers(session), 1u);
  EXPECT_GT(fixture.actions.rejections[0].retry_after, 0);
  EXPECT_LE(fixture.actions.rejections[0].retry_after, kSecond);
}

TEST(Guarantees, NoAttemptStartsAfterTheClientHasLeft) {
  BalancerFixture fixture(3);
  Session& session = fixture.request_session(1);

  fixture.balancer.on_client_left(session);
  fixture.end_attempt(session, AttemptResult::connect_failed, true);

  EXPECT_EQ(fixture.actions.attempts.size(), 1u);
  EXPECT_EQ(fixture.final_answers(session), 0u);
}

TEST(Guarantees, SessionHasOneAttemptAtATime) {
  BalancerFixture fixture(3);
  Session& session = fixture.request_session(1);

  fixture.actions.advance(kSecond);
  EXPECT_EQ(fixture.actions.attempts.size(), 1u);

  fixture.end_attempt(session, AttemptResult::timed_out);
  EXPECT_EQ(fixture.actions.attempts.size(), 2u);
}

TEST(Guarantees, DrainingOrRemovedBackendGetsNoNewSession) {
  BalancerFixture fixture(3);
  fixture.set_endpoint_state(0, EndpointState::draining);
  fixture.set_endpoint_state(1, EndpointState::gone);

  fixture.establish_sessions(1, 40);

  EXPECT_EQ(fixture.attempts_to(*fixture.backends[0]) + fixture.attempts_to(*fixture.backends[1]), 0u);
  EXPECT_GT(fixture.attempts_to(*fixture.backends[2]), 0u);
}

}  // namespace
}  // namespace cherryrail::testing
