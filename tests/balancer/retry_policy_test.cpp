// Tests of RetryPolicy through Balancer: idempotency, attempt timeouts, the retry budget, pinned sessions.
#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <vector>

#include "support/balancer_fixture.hpp"

namespace cherryrail::testing {
namespace {

TEST(RetryPolicy, RetriesAtAnotherBackendUntilMaxAttempts) {
  BalancerFixture fixture(6);
  Session& session = fixture.request_session(3);

  for (int i = 0; i < 4; ++i) fixture.end_attempt(session, AttemptResult::connect_failed);

  ASSERT_EQ(fixture.actions.attempts.size(), 4u);
  std::set<const Backend*> tried;
  for (const auto& attempt : fixture.actions.attempts) tried.insert(attempt.backend);
  EXPECT_EQ(tried.size(), 4u);
  EXPECT_EQ(fixture.final_answers(session), 1u);
}

TEST(RetryPolicy, AttemptTimeoutIsAtMostAThirdOfTheClientTimeout) {
  BalancerFixture fixture(3);

  const Session& session = fixture.request_session(1);

  EXPECT_LE(3 * fixture.actions.attempts[0].time_limit, session.traffic_class->client_timeout);
}

TEST(RetryPolicy, AttemptTimeoutGrowsWhenAllAttemptsTimeOut) {
  BalancerFixture fixture(6);

  for (std::uint64_t key = 1; key <= 10; ++key) {
    Session& session = fixture.request_session(key);
    fixture.balancer.on_attempt_ended(
        session, {AttemptResult::timed_out, fixture.actions.attempts.back().time_limit}, false, {});
  }

  EXPECT_GT(fixture.actions.attempts.back().time_limit, 400 * kMillisecond);
}

TEST(RetryPolicy, NonIdempotentSessionFailsWithoutRetryOnceItMayHaveRun) {
  BalancerFixture fixture(3, default_config(Idempotency::non_idempotent));
  Session& session = fixture.request_session(1);

  fixture.end_attempt(session, AttemptResult::rejected);
  EXPECT_EQ(fixture.actions.attempts.size(), 2u);  // a rejected attempt has not run, so a retry is safe

  fixture.end_attempt(session, AttemptResult::reset);
  EXPECT_EQ(fixture.actions.attempts.size(), 2u);
  EXPECT_EQ(fixture.actions.failed_sessions.size(), 1u);
  EXPECT_TRUE(fixture.actions.rejections.empty());
}

TEST(RetryPolicy, NonIdempotentSessionFailsIfUnansweredAtItsTimeout) {
  BalancerFixture fixture(3, default_config(Idempotency::non_idempotent));
  fixture.request_session(1);

  fixture.actions.advance(2 * kSecond);

  EXPECT_EQ(fixture.actions.failed_sessions.size(), 1u);
  EXPECT_TRUE(fixture.actions.rejections.empty());
}

TEST(RetryPolicy, SessionWithIdempotencyKeyIsRetriedOnlyWithinItsDeduplicationScope) {
  BalancerConfig config = default_config(Idempotency::idempotency_key);
  config.traffic_classes[0].deduplication_scope = DeduplicationScope::zone;
  BalancerFixture fixture(6, config);
  Session& session = fixture.request_session(1);
  const unsigned zone = session.backend->zone;

  fixture.end_attempt(session, AttemptResult::error);
  ASSERT_EQ(fixture.actions.attempts.size(), 2u);
  EXPECT_EQ(fixture.actions.attempts[1].backend->zone, zone);

  fixture.end_attempt(session, AttemptResult::error);
  fixture.end_attempt(session, AttemptResult::error);
  // All three backends of the zone have been tried. A rejection would state that none of them has run it.
  EXPECT_EQ(fixture.actions.failed_sessions.size(), 1u);
}

TEST(RetryPolicy, SessionWithIdempotencyKeyIsNotRetriedAfterItsDeduplicationWindow) {
  BalancerConfig config = default_config(Idempotency::idempotency_key);
  config.traffic_classes[0].deduplication_scope = DeduplicationScope::zone;
  config.traffic_classes[0].deduplication_window = 100 * kMillisecond;
  BalancerFixture fixture(6, config);
  Session& session = fixture.request_session(1);

  fixture.actions.advance(150 * kMillisecond);
  fixture.end_attempt(session, AttemptResult::error);

  EXPECT_EQ(fixture.actions.attempts.size(), 1u);
}

struct UnansweredRequestCase {
  const char* name;
  Micros window;
  bool is_attempt_under_way;
  bool has_retry_after;  // up to a second
  bool is_rejected;
};

class RejectionOfADeduplicatedRequest : public ::testing::TestWithParam<UnansweredRequestCase> {};

// Guards against effects that run twice: a rejection invites the client to retry, also after its
// deduplication window, when no backend recognises the duplicate any more.
TEST_P(RejectionOfADeduplicatedRequest, IsGivenOnlyWithinTheDeduplicationWindow) {
  BalancerConfig config = default_config(Idempotency::idempotency_key);
  config.traffic_classes[0].deduplication_window = GetParam().window;
  config.may_send_retry_after = GetParam().has_retry_after;
  config.max_attempts = 2;
  BalancerFixture fixture(3, config);
  Session& session = fixture.request_session(1);
  if (!GetParam().is_attempt_under_way) {
    fixture.end_attempt(session, AttemptResult::timed_out);
    fixture.actions.advance(600 * kMillisecond);
    fixture.end_attempt(session, AttemptResult::timed_out);
  }

  fixture.actions.advance(2 * kSecond);

  EXPECT_EQ(fixture.actions.rejections.size(), GetParam().is_rejected ? 1u : 0u);
  EXPECT_EQ(fixture.actions.failed_sessions.size(), GetParam().is_rejected ? 0u : 1u);
}

INSTANTIATE_TEST_SUITE_P(
    Windows, RejectionOfADeduplicatedRequest,
    ::testing::Values(
        UnansweredRequestCase{"WindowIsOpen", 5 * kSecond, false, true, true},
        UnansweredRequestCase{"WindowHasPassed", 500 * kMillisecond, false, false, false},
        UnansweredRequestCase{"WindowIsOpenDuringTheAttempt", 5 * kSecond, true, true, true},
        UnansweredRequestCase{"WindowHasPassedDuringTheAttempt", 500 * kMillisecond, true, false, false},
        UnansweredRequestCase{"WindowIsOpenWithoutAdvice", 2500 * kMillisecond, true, false, true},
        UnansweredRequestCase{"WindowPassesBeforeTheAdvisedRetry", 2500 * kMillisecond, true, true, false}),
    [](const auto& test) { return test.param.name; });

// Connecting may take longer than the deduplication window, so the check is repeated before the request is
// sent.
TEST(RetryPolicy, RefusesRequestOfARetryAfterItsDeduplicationWindow) {
  BalancerConfig config = default_config(Idempotency::idempotency_key);
  config.traffic_classes[0].deduplication_window = 500 * kMillisecond;
  BalancerFixture fixture(3, config);
  Session& session = fixture.request_session(1);
  fixture.end_attempt(session, AttemptResult::timed_out);
  ASSERT_TRUE(session.backend);
  EXPECT_EQ(fixture.balancer.refuse_request(session, *session.backend), Refusal::none);

  fixture.actions.advance(600 * kMillisecond);

  EXPECT_EQ(fixture.balancer.refuse_request(session, *session.backend), Refusal::could_run_twice);
}

BalancerConfig retry_budget_config(double minimum_retries, double retry_ratio) {
  BalancerConfig config = default_config();
  config.traffic_classes.push_back(config.traffic_classes[0]);
  config.traffic_classes[1].index = 1;
  config.traffic_classes[1].priority_weight = 3;
  config.retry_budget_window = 5 * kSecond;
  config.retry_budget_minimum = minimum_retries;
  config.retry_budget_ratio = retry_ratio;
  return config;
}

// Every attempt fails to connect, so without a budget each session would use all its attempts.
TEST(RetryPolicy, RetriesStayWithinTheBudgetInEveryWindow) {
  BalancerFixture fixture(8, retry_budget_config(1, 0.15));
  std::vector<Micros> requests;
  std::vector<Micros> retries;

  for (int i = 0; i < 300; ++i) {
    requests.push_back(fixture.actions.current_time);
    Session& session = fixture.request_session(static_cast<std::uint64_t>(i) + 1);
    while (session.backend) {
      if (session.attempts > 1) retries.push_back(fixture.actions.current_time);
      fixture.end_attempt(session, AttemptResult::connect_failed);
    }
    EXPECT_EQ(fixture.final_answers(session), 1u);  // at once, however much time is left
    fixture.actions.advance(i < 150 ? 40 * kMillisecond : 700 * kMillisecond);
  }

  EXPECT_GE(retries.size(), 20u);
  for (const Micros at : retries) {
    const auto is_within = [at](Micros other) { return other <= at && other > at - 5 * kSecond; };
    const auto admitted = std::count_if(requests.begin(), requests.end(), is_within);
    EXPECT_LE(std::count_if(retries.begin(), retries.end(), is_within),
              1 + 0.15 * static_cast<double>(admitted));
  }
}

TEST(RetryPolicy, ReservesSecondHalfOfTheBudgetForHigherPriority) {
  BalancerFixture fixture(8, retry_budget_config(4, 0));

  std::vector<unsigned> attempts;
  for (const std::size_t traffic_class : {0u, 0u, 0u, 1u, 1u, 1u}) {
    Session& session = fixture.make_session(attempts.size() + 1);
    session.traffic_class = &fixture.balancer.traffic_classes()[traffic_class];
    fixture.balancer.admit(fixture.sessions.back());
    fixture.end_attempt(session, AttemptResult::rejected);
    attempts.push_back(session.attempts);
  }

  EXPECT_EQ(attempts, (std::vector<unsigned>{2, 2, 1, 2, 2, 1}));
}

TEST(RetryPolicy, ReturnsARetryThatWasNotSentToTheBudget) {
  BalancerFixture fixture(3, retry_budget_config(1, 0));
  Session& session = fixture.request_session(1);

  fixture.end_attempt(session, AttemptResult::rejected);
  ASSERT_EQ(session.attempts, 2u);
  fixture.end_attempt(session, AttemptResult::not_sent);

  EXPECT_EQ(session.attempts, 3u);
}

TEST(RetryPolicy, OnlyTheSuccessorSpendsTheBudgetAfterAHotRestart) {
  BalancerFixture first(3, retry_budget_config(1, 0));
  BalancerFixture second(3, retry_budget_config(1, 0));

  second.balancer.import_state(first.balancer.export_state());
  first.end_attempt(first.request_session(1), AttemptResult::rejected);
  EXPECT_EQ(first.actions.attempts.size(), 1u);
  second.end_attempt(second.request_session(1), AttemptResult::rejected);
  EXPECT_EQ(second.actions.attempts.size(), 2u);

  BalancerFixture third(3, retry_budget_config(1, 0));
  third.balancer.import_state(second.balancer.export_state());
  third.end_attempt(third.request_session(1), AttemptResult::rejected);
  EXPECT_EQ(third.actions.attempts.size(), 1u);
}

// The client's timeout is longer than the test runs.
Session& request_session_pinned_to(std::size_t backend, BalancerFixture& fixture) {
  Session& session = fixture.make_session(1);
  session.deadline = fixture.actions.current_time + 40 * kSecond;
  session.pinned_backend = fixture.backends[backend];
  fixture.balancer.admit(fixture.sessions.back());
  return session;
}

TEST(RetryPolicy, PinnedSessionRetriesAtItsBackendWithGrowingConnectTimeout) {
  BalancerFixture fixture(5);
  Session& session = request_session_pinned_to(3, fixture);

  unsigned longest_factor = 0;
  for (std::size_t attempt = 1; attempt <= 12; ++attempt) {
    ASSERT_EQ(fixture.attempts_to(*fixture.backends[3]), attempt);
    const unsigned factor = RetryPolicy::connect_timeout_factor(session);
    EXPECT_GE(factor, longest_factor);
    longest_factor = factor;
    fixture.end_attempt(session, AttemptResult::connect_failed);
    fixture.actions.advance(kSecond / 4);
  }

  EXPECT_GE(longest_factor, 16U);
  EXPECT_EQ(fixture.actions.attempts.size(), 13U);
  EXPECT_EQ(fixture.final_answers(session), 0U);
}

TEST(RetryPolicy, PinnedSessionHasNoMoreAttemptsThanOthers) {
  BalancerFixture fixture(5);
  Session& session = request_session_pinned_to(3, fixture);

  for (int i = 0; i < 8; ++i) {
    if (session.backend) fixture.end_attempt(session, AttemptResult::rejected);
    fixture.actions.advance(kSecond);
  }

  EXPECT_EQ(fixture.actions.attempts.size(), 4U);
  EXPECT_EQ(fixture.final_answers(session), 1U);
}

}  // namespace
}  // namespace cherryrail::testing
