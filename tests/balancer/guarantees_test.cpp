// The four rules, each as a story in which a careless module would break it.
#include <gtest/gtest.h>

#include "support/balancer_fixture.hpp"

namespace cherryrail::testing {
namespace {

TEST(Rules, TunnelIsAnsweredOnceAndBeforeItsTimeout) {
  BalancerFixture fixture(3);
  Session& session = fixture.request_session(1);
  fixture.actions.advance(kSecond * 19 / 10);
  EXPECT_EQ(fixture.final_answers(session), 0u);
  fixture.actions.advance(kSecond / 10 - 1);
  EXPECT_EQ(fixture.final_answers(session), 1u);
  EXPECT_EQ(fixture.actions.cancelled_sessions.size(), 1u);
  const std::size_t sent = fixture.actions.attempts.size();
  fixture.end_attempt(session, AttemptResult::timed_out);
  fixture.actions.advance(5 * kSecond);
  EXPECT_EQ(fixture.final_answers(session), 1u);
  EXPECT_EQ(fixture.actions.attempts.size(), sent);
}

TEST(Rules, TunnelThatFitsNowhereIsDeclinedAtOnceWithAdvice) {
  BalancerFixture fixture(0);
  Session& session = fixture.request_session(1);
  ASSERT_EQ(fixture.final_answers(session), 1u);
  EXPECT_GT(fixture.actions.rejections[0].retry_after, 0);
  EXPECT_LE(fixture.actions.rejections[0].retry_after, kSecond);
}

TEST(Rules, NothingIsSentForAClientThatHasGone) {
  BalancerFixture fixture(3);
  Session& session = fixture.request_session(1);
  fixture.balancer.on_client_left(session);
  fixture.end_attempt(session, AttemptResult::connect_failed, true);
  EXPECT_EQ(fixture.actions.attempts.size(), 1u);
  EXPECT_EQ(fixture.final_answers(session), 0u);
}

TEST(Rules, OnceOnlyIsNeverSentAgainNorDeclinedOnceItMayHaveRun) {
  BalancerFixture fixture(3, default_config(Idempotency::non_idempotent));
  Session& sure = fixture.request_session(1);
  fixture.end_attempt(sure, AttemptResult::rejected);
  EXPECT_EQ(fixture.actions.attempts.size(), 2u);  // proven not to have run: the next backend may try
  fixture.end_attempt(sure, AttemptResult::reset);
  EXPECT_EQ(fixture.actions.attempts.size(), 2u);
  EXPECT_EQ(fixture.actions.failed_sessions.size(), 1u);
  EXPECT_TRUE(fixture.actions.rejections.empty());
}

TEST(Rules, OnceOnlyStillOutAtItsTimeoutIsClosedWithError) {
  BalancerFixture fixture(3, default_config(Idempotency::non_idempotent));
  fixture.request_session(1);
  fixture.actions.advance(2 * kSecond);
  EXPECT_EQ(fixture.actions.failed_sessions.size(), 1u);
  EXPECT_TRUE(fixture.actions.rejections.empty());
}

TEST(Rules, ReferencedIsSentAgainOnlyInsideItsGroupAndWindow) {
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
  EXPECT_EQ(fixture.actions.failed_sessions.size(),
            1u);  // the zone's three are tried; a decline would be a lie

  config.traffic_classes[0].deduplication_window = 100 * kMillisecond;
  BalancerFixture late(6, config);
  Session& slow = late.request_session(1);
  late.actions.advance(150 * kMillisecond);
  late.end_attempt(slow, AttemptResult::error);
  EXPECT_EQ(late.actions.attempts.size(), 1u);
}

TEST(Rules, NeverTwoSetupsOutForOneTunnel) {
  BalancerFixture fixture(3);
  Session& session = fixture.request_session(1);
  fixture.actions.advance(kSecond);
  EXPECT_EQ(fixture.actions.attempts.size(), 1u);
  fixture.end_attempt(session, AttemptResult::timed_out);
  EXPECT_EQ(fixture.actions.attempts.size(), 2u);
}

BalancerConfig budget_terms(double free, double share) {
  BalancerConfig config = default_config();
  config.traffic_classes.push_back(config.traffic_classes[0]);
  config.traffic_classes[1].index = 1;
  config.traffic_classes[1].priority_weight = 3;
  config.retry_budget_window = 5 * kSecond;
  config.retry_budget_minimum = free;
  config.retry_budget_ratio = share;
  return config;
}

// A backend after the other refuses: each tunnel would be tried again at the next one, as often as it may be.
TEST(Rules, FurtherSetupsStayWithinTheBudgetInEveryWindow) {
  BalancerFixture fixture(8, budget_terms(1, 0.15));
  std::vector<Micros> taken, further;
  for (int i = 0; i < 300; ++i) {
    taken.push_back(fixture.actions.current_time);
    Session& session = fixture.request_session(static_cast<std::uint64_t>(i) + 1);
    while (session.backend) {
      if (session.attempts > 1) further.push_back(fixture.actions.current_time);
      fixture.end_attempt(session, AttemptResult::connect_failed);
    }
    EXPECT_EQ(fixture.final_answers(session), 1u);  // at once, whatever is left of its time
    fixture.actions.advance(i < 150 ? 40 * kMillisecond : 700 * kMillisecond);
  }
  EXPECT_GE(further.size(), 20u);
  for (const Micros at : further) {
    const auto within = [at](Micros other) { return other <= at && other > at - 5 * kSecond; };
    EXPECT_LE(std::count_if(further.begin(), further.end(), within),
              1 + 0.15 * static_cast<double>(std::count_if(taken.begin(), taken.end(), within)));
  }
}

TEST(Rules, BudgetsFirstHalfIsForAllAndTheRestForWhatPaysMore) {
  BalancerFixture fixture(8, budget_terms(4, 0));
  std::vector<unsigned> setups;
  for (const std::size_t traffic_class : {0u, 0u, 0u, 1u, 1u, 1u}) {
    Session& session = fixture.make_session(setups.size() + 1);
    session.traffic_class = &fixture.balancer.traffic_classes()[traffic_class];
    fixture.balancer.admit(fixture.sessions.back());
    fixture.end_attempt(session, AttemptResult::rejected);
    setups.push_back(session.attempts);
  }
  EXPECT_EQ(setups, (std::vector<unsigned>{2, 2, 1, 2, 2, 1}));
}

TEST(Rules, SetupThatNeverLeftIsNotCountedInTheBudget) {
  BalancerFixture fixture(3, budget_terms(1, 0));
  Session& session = fixture.request_session(1);
  fixture.end_attempt(session, AttemptResult::rejected);
  ASSERT_EQ(session.attempts, 2u);
  fixture.end_attempt(session, AttemptResult::not_sent);
  EXPECT_EQ(session.attempts, 3u);
}

TEST(Rules, TwoProcessesThatAreOneRelaySpendOneBudget) {
  BalancerFixture fixture(3, budget_terms(1, 0)), next(3, budget_terms(1, 0));
  next.balancer.import_state(fixture.balancer.export_state());
  fixture.end_attempt(fixture.request_session(1), AttemptResult::rejected);
  EXPECT_EQ(fixture.actions.attempts.size(), 1u);
  next.end_attempt(next.request_session(1), AttemptResult::rejected);
  EXPECT_EQ(next.actions.attempts.size(), 2u);
  BalancerFixture third(3, budget_terms(1, 0));
  third.balancer.import_state(next.balancer.export_state());
  third.end_attempt(third.request_session(1), AttemptResult::rejected);
  EXPECT_EQ(third.actions.attempts.size(), 1u);
}

TEST(Rules, NothingNewGoesToABackendThatDrainsOrIsGone) {
  BalancerFixture fixture(3);
  fixture.set_endpoint_state(0, EndpointState::draining);
  fixture.set_endpoint_state(1, EndpointState::gone);
  for (std::uint64_t key = 1; key <= 40; ++key) fixture.establish_session(key);
  EXPECT_EQ(fixture.attempts_to(*fixture.backends[0]) + fixture.attempts_to(*fixture.backends[1]), 0u);
  EXPECT_GT(fixture.attempts_to(*fixture.backends[2]), 0u);
}

// All relays together must keep the budget though none knows of the others: in every window of the rule.
TEST(Rules, ColdBackendGetsNoMoreThanItsBudgetFromAllRelaysTogether) {
  BalancerConfig config = default_config();
  config.relay_count = 4;
  std::vector<std::unique_ptr<BalancerFixture>> relay_count;
  for (config.relay_index = 0; config.relay_index < config.relay_count; ++config.relay_index) {
    relay_count.push_back(std::make_unique<BalancerFixture>(0, config));
    relay_count.back()->add_backend(relay_count.back()->actions.current_time);
    for (int i = 0; i < 3; ++i)
      relay_count.back()->add_backend(0),
          relay_count.back()->set_endpoint_state(i + 1, EndpointState::draining);
  }
  std::vector<Micros> sends;
  std::uint64_t key = 1;
  for (int step = 0; step < 100; ++step) {  // ten seconds; a flood of clients that come again
    for (auto& fixture : relay_count) {
      const std::size_t before = fixture->actions.attempts.size();
      fixture->make_session(++key).is_reconnecting = true;
      fixture->balancer.admit(fixture->sessions.back());
      if (fixture->actions.attempts.size() > before) {
        sends.push_back(fixture->actions.current_time);
        fixture->balancer.on_established(*fixture->sessions.back(), 20 * kMillisecond);
      }
      fixture->actions.advance(100 * kMillisecond);
    }
  }
  ASSERT_GE(sends.size(), 4u);
  for (const Micros from : sends) {
    const auto in_window = std::count_if(sends.begin(), sends.end(),
                                         [&](Micros at) { return at >= from && at < from + 2 * kSecond; });
    EXPECT_LE(in_window, 2);
  }
}

TEST(Rules, RelayThatHasJustStartedSitsOutTheTurnItMayHaveUsedBefore) {
  BalancerFixture fixture(0);
  fixture.add_backend(fixture.actions.current_time - kSecond);  // the turn began before this relay did
  EXPECT_EQ(fixture.final_answers(fixture.request_session(1)), 1u);
  fixture.actions.advance(kSecond + kMillisecond);
  EXPECT_EQ(fixture.final_answers(fixture.request_session(2)), 0u);
}

// A release: half of the fleet is replaced at once while new clients are few, and a hundred relays hold
// little each. By turns alone the successors would stay empty while those left drown. Their part by their
// warm share is due to them, from all relays together, and not much more.
TEST(Rules, ColdBackendsTakeTheirWarmPartOfWhatComesAgainFromAHundredRelays) {
  BalancerConfig config = default_config();
  config.relay_count = 100;
  std::size_t to_cold = 0, all = 0, declined = 0;
  for (config.relay_index = 0; config.relay_index < config.relay_count; ++config.relay_index) {
    BalancerFixture fixture(10, config);
    for (std::uint64_t other = 0; other < 12; ++other)
      fixture.establish_session(100 * (config.relay_index + 10) + other);
    fixture.actions.advance(60 * kSecond);
    std::vector<Backend*> cold;
    for (std::size_t i = 0; i < 5; ++i) fixture.set_endpoint_state(i, EndpointState::gone);
    for (std::size_t i = 0; i < 5; ++i)
      cold.push_back(&fixture.add_backend(fixture.actions.current_time - 6 * kSecond));
    for (std::uint64_t client = 0; client < 3; ++client) {
      Session& session = fixture.make_session(1 + 3 * config.relay_index + client);
      session.is_reconnecting = true;
      fixture.balancer.admit(fixture.sessions.back());
      ++all;
      declined += fixture.final_answers(session);
      fixture.balancer.on_established(session, 20 * kMillisecond);
    }
    for (Backend* backend : cold) to_cold += fixture.attempts_to(*backend);
  }
  const double part = static_cast<double>(to_cold) / static_cast<double>(all);
  const double due = 0.44 / (1 + 0.44);  // six seconds of a warm-up of twenty, from a fifth up
  EXPECT_GT(part, 0.8 * due);
  EXPECT_LT(part, 1.2 * due);
  EXPECT_EQ(declined, 0u);
}

// A drained backend's group comes again at two hundred relays in one second, and its first-ranked backend is
// cold.
TEST(Rules, GroupThatComesAgainAtManyRelaysAtOnceDoesNotPushAColdBackendOver) {
  const auto sent = [](bool returning) {
    BalancerConfig config = default_config();
    config.relay_count = 200;
    std::size_t count = 0;
    for (config.relay_index = 0; config.relay_index < config.relay_count; ++config.relay_index) {
      BalancerFixture fixture(9, config);
      fixture.establish_session(1000 + config.relay_index);
      fixture.actions.advance(60 * kSecond);
      Backend& cold = fixture.add_backend(fixture.actions.current_time - 4 * kSecond);
      for (const auto& backend : fixture.backends)
        if (backend.get() != &cold) fixture.balancer.update_endpoint(backend, EndpointState::draining, 1, 0);
      fixture.make_session(7).is_reconnecting = returning;
      fixture.balancer.admit(fixture.sessions.back());
      count += fixture.attempts_to(cold);
    }
    return count;
  };
  EXPECT_GE(sent(true), 1u);
  EXPECT_LE(sent(true), 25u);
  EXPECT_GE(sent(false), sent(true));  // new clients come singly
}

// The same while the others stay in service: each relay knows one of the group, so none can see how large it
// is.
TEST(Rules, LargeGroupThatRanksAColdBackendFirstIsNotLetInWhole) {
  BalancerConfig config = default_config();
  config.relay_count = 100;
  const auto lands = [&config](std::uint64_t group, bool returning) {
    BalancerFixture fixture(9, config);
    for (std::uint64_t other = 0; other < 2; ++other)
      fixture.establish_session(100 * (config.relay_index + 10) + other);
    fixture.actions.advance(60 * kSecond);
    const Backend& cold = fixture.add_backend(fixture.actions.current_time);
    Session& session = fixture.make_session(1000 * (config.relay_index + 1));
    session.group_key = group;
    session.is_reconnecting = returning;
    fixture.balancer.admit(fixture.sessions.back());
    return fixture.attempts_to(cold);
  };
  std::uint64_t group = 1;
  while (lands(group, false) == 0) ++group;  // by itself, a new client is let in
  std::size_t sent = 0, singly = 0;
  for (config.relay_index = 0; config.relay_index < config.relay_count; ++config.relay_index)
    sent += lands(group, true), singly += lands(group, false);
  EXPECT_GT(singly, 2 * sent);  // new clients come singly
  EXPECT_GE(sent, 1u);
  EXPECT_LE(sent, 8u);  // two thirds of the multiple times the warm share of the twenty due to each backend
}

TEST(Rules, BackendThatCameBackIsColdAgain) {
  BalancerFixture fixture(1);
  fixture.establish_session(1);
  fixture.balancer.update_endpoint(fixture.backends[0], EndpointState::ready, 1,
                                   fixture.actions.current_time);
  fixture.establish_session(2);
  EXPECT_EQ(fixture.final_answers(fixture.request_session(3)), 1u);
}

}  // namespace
}  // namespace cherryrail::testing
