// The ordinary path and each trouble met, one story each.
#include <gtest/gtest.h>

#include <map>
#include <set>

#include "support/balancer_fixture.hpp"

namespace cherryrail::testing {
namespace {

TEST(Landing, OneKeyLandsOnOneBackendAtEveryRelayUntilTheCap) {
  BalancerFixture one(8), other(8);
  for (std::uint64_t key = 1; key <= 8; ++key) {
    EXPECT_EQ(one.establish_session(key).backend->name, other.establish_session(key).backend->name);
  }
  BalancerFixture hot(8);
  std::set<const Backend*> used;
  for (int i = 0; i < 40; ++i) used.insert(hot.establish_session(5).backend.get());
  EXPECT_GT(used.size(), 4u);  // a hot key is spread once its first backends are full
  for (const auto& backend : hot.backends)
    EXPECT_LE(backend->sessions.size(), backend->zone == 0 ? 11u : 8u);  // the own zone's cap is wider
}

TEST(Landing, FailedSetupTriesTheNextRankedWhileSetupsRemain) {
  BalancerFixture fixture(6);
  Session& session = fixture.request_session(3);
  for (int i = 0; i < 4; ++i) fixture.end_attempt(session, AttemptResult::connect_failed);
  ASSERT_EQ(fixture.actions.attempts.size(), 4u);
  std::set<const Backend*> tried;
  for (const auto& sent : fixture.actions.attempts) tried.insert(sent.backend);
  EXPECT_EQ(tried.size(), 4u);
  EXPECT_EQ(fixture.final_answers(session), 1u);
}

TEST(Landing, SetupTimeoutLeavesTimeForOthersBeforeTheClientGivesUp) {
  BalancerFixture fixture(3);
  Session& session = fixture.request_session(1);
  EXPECT_LE(3 * fixture.actions.attempts[0].time_limit, session.traffic_class->client_timeout);
}

TEST(Landing, BackendThatWarmsUpGetsARisingShare) {
  BalancerFixture fixture(3);
  Backend& young = fixture.add_backend(fixture.actions.current_time - 2 * kSecond);
  const auto share = [&] {
    const std::size_t before = fixture.attempts_to(young);
    for (std::uint64_t i = 0; i < 200; ++i) {
      Session& session = fixture.establish_session(1000 + i * 7919);
      fixture.actions.advance(10 * kMillisecond);
      if (session.backend) fixture.end_attempt(session, AttemptResult::succeeded, true);
    }
    return fixture.attempts_to(young) - before;
  };
  const std::size_t early = share();  // the same keys, young and warm
  fixture.actions.advance(20 * kSecond);
  const std::size_t late = share();
  EXPECT_GT(early, 0u);
  EXPECT_GT(late, 2 * early);
}

TEST(Movers, DrainingBackendIsEmptiedByABoundedPool) {
  BalancerFixture fixture(1);
  for (std::uint64_t key = 1; key <= 30; ++key) fixture.establish_session(key);
  fixture.add_backend(0);
  fixture.set_endpoint_state(0, EndpointState::draining);
  const std::size_t first = fixture.actions.migrated_sessions.size();
  EXPECT_GE(first, 1u);
  EXPECT_LT(first, 30u);
  fixture.end_attempt(*fixture.actions.migrated_sessions[0], AttemptResult::cancelled,
                      true);  // its mover is free for the next
  EXPECT_EQ(fixture.actions.migrated_sessions.size(), first + 1);
  fixture.actions.advance(60 * kSecond);  // outcomes that never come hold a mover for a second only
  EXPECT_EQ(fixture.actions.migrated_sessions.size(), 30u);
}

TEST(Movers, ARelayThatEndsSendsItsClientsAwayOverTime) {
  BalancerFixture fixture(3);
  for (std::uint64_t key = 1; key <= 60; ++key) fixture.establish_session(key);
  fixture.balancer.begin_graceful_shutdown();
  std::size_t most = 0;
  for (int i = 0; i < 16; ++i) {  // within three quarters of the client timeout
    const std::size_t before = fixture.actions.migrated_sessions.size();
    fixture.actions.advance(100 * kMillisecond);
    most = std::max(most, fixture.actions.migrated_sessions.size() - before);
    for (std::size_t k = before; k < fixture.actions.migrated_sessions.size(); ++k)
      fixture.end_attempt(*fixture.actions.migrated_sessions[k], AttemptResult::cancelled, true);
  }
  EXPECT_LE(most, 15u);
  EXPECT_EQ(fixture.actions.migrated_sessions.size(), 60u);
}

TEST(Movers, TunnelsOpenAtTheStartMoveLikeTheOthers) {
  BalancerFixture fixture(1);
  fixture.make_session(1);
  fixture.balancer.adopt(fixture.sessions[0], fixture.backends[0]);
  fixture.add_backend(0);
  fixture.set_endpoint_state(0, EndpointState::draining);
  ASSERT_EQ(fixture.actions.migrated_sessions.size(), 1u);
  EXPECT_EQ(fixture.actions.migrated_sessions[0], fixture.sessions[0].get());
}

// Moved with no place to go, a client is declined and waits longer each time; until then the drain still
// serves.
TEST(Movers, TunnelOnADrainingBackendStaysUntilSomethingWouldTakeIt) {
  BalancerFixture fixture(1);
  fixture.establish_session(1);
  fixture.set_endpoint_state(0, EndpointState::draining);
  fixture.actions.advance(3 * kSecond);
  EXPECT_TRUE(fixture.actions.migrated_sessions.empty());
  fixture.add_backend(0);
  fixture.actions.advance(kSecond);
  EXPECT_EQ(fixture.actions.migrated_sessions.size(), 1u);
}

TEST(Movers, QueueFullWaitsALittleThenEndsTheConnection) {
  BalancerFixture fixture(1);
  for (std::uint64_t key = 1; key <= 40; ++key) fixture.establish_session(key);
  fixture.add_backend(0);
  fixture.set_endpoint_state(0, EndpointState::draining);
  const std::size_t at_once = fixture.actions.migrated_sessions.size();
  fixture.actions.advance(110 * kMillisecond);
  EXPECT_GT(fixture.actions.migrated_sessions.size(), at_once);
}

TEST(EndpointList, SubscribesAtTheStartAndAgainAfterFailure) {
  BalancerConfig config = default_config();
  config.must_request_endpoints = true;
  BalancerFixture fixture(1, config);
  ASSERT_EQ(fixture.actions.endpoint_watches.size(), 1u);
  for (int i = 0; i < 12; ++i) {
    fixture.balancer.on_discovery_failed();
    fixture.actions.advance(config.endpoint_request_interval / 4 + kMillisecond);
  }
  EXPECT_EQ(fixture.actions.endpoint_watches.size(), 13u);
}

TEST(Health, IllBackendIsSetAsideAndReturnsByATrickle) {
  BalancerFixture fixture(6);
  Backend& ill = *fixture.backends[0];
  const auto serve = [&](int tunnels, bool heals) {
    for (int i = 0; i < tunnels; ++i) {
      Session& session = fixture.request_session(fixture.actions.attempts.size() * 31 + 1);
      while (session.backend.get() == &ill && !heals) fixture.end_attempt(session, AttemptResult::error);
      if (session.backend) fixture.balancer.on_established(session, 20 * kMillisecond);
      if (session.backend) fixture.end_attempt(session, AttemptResult::succeeded, true);
      fixture.actions.advance(50 * kMillisecond);
    }
  };
  serve(60, false);
  EXPECT_TRUE(ill.outlier.is_ejected());
  const std::size_t while_ill = fixture.attempts_to(ill);
  serve(100, false);  // five seconds: no more than a trickle
  EXPECT_LE(fixture.attempts_to(ill) - while_ill, 5u);
  serve(400, true);
  EXPECT_FALSE(ill.outlier.is_ejected());
}

// When all fail together the cause is shared: setting backends aside would drown the rest.
// Tells of every held backend in this zone, once a second, that its messages take so long.
void tell(BalancerFixture& fixture, unsigned zone, Micros time, int seconds) {
  for (int i = 0; i < seconds; ++i) {
    for (const auto& backend : fixture.backends)
      if (backend->zone == zone && !backend->sessions.empty())
        fixture.balancer.on_message_latency_reported(*backend->sessions[0], time);
    fixture.actions.advance(kSecond);
  }
}

// A hanging process, or a way that is slow for this relay alone: shedding a third of it each time helps
// nobody.
TEST(Late, WhatIsLateByTheSameTimeAgainAndAgainIsLeftByAllThatCannotBeInTimeThere) {
  BalancerConfig config = default_config();
  config.traffic_classes.push_back(config.traffic_classes[0]);
  config.traffic_classes[1].index = 1;
  config.traffic_classes[1].message_latency_objective = kSecond;
  BalancerFixture fixture(0, config);
  Backend& odd = fixture.add_backend(0, 1);
  for (int i = 0; i < 3; ++i) fixture.add_backend(0, 0);
  for (std::uint64_t key = 1; key <= 40; ++key) {
    fixture.make_session(key).traffic_class = &fixture.balancer.traffic_classes()[key % 2];
    fixture.balancer.admit(fixture.sessions.back());
    fixture.balancer.on_established(*fixture.sessions.back(), 20 * kMillisecond);
  }
  const std::size_t sent = fixture.attempts_to(odd);
  ASSERT_GE(sent, 6u);
  tell(fixture, 1, 300 * kMillisecond, 3);
  EXPECT_TRUE(std::all_of(odd.sessions.begin(), odd.sessions.end(), [](const Session* session) {
    return session->is_migration_queued || session->traffic_class->index == 1;
  }));
  EXPECT_TRUE(std::any_of(odd.sessions.begin(), odd.sessions.end(),
                          [](const Session* session) { return !session->is_migration_queued; }));
  for (std::uint64_t key = 100; key < 120; ++key) fixture.establish_session(key);
  EXPECT_EQ(fixture.attempts_to(odd), sent);
}

// Two of six in time: measured with the late ones they seem full, and the first words looked like general
// strain.
TEST(Late, WhereFewAreInTimeTheyTakeInWhatTheLateOnesCannotServe) {
  BalancerFixture fixture(6);
  for (std::uint64_t key = 1; key <= 36; ++key) fixture.establish_session(key);
  for (int i = 0; i < 6; ++i) {
    for (std::size_t at = 0; at < 4; ++at)
      if (!fixture.backends[at]->sessions.empty())
        fixture.balancer.on_message_latency_reported(*fixture.backends[at]->sessions[0], 400 * kMillisecond);
    for (const auto& session : fixture.sessions)
      if (std::count(fixture.actions.migrated_sessions.begin(), fixture.actions.migrated_sessions.end(),
                     session.get()) &&
          session->backend)
        fixture.end_attempt(*session, AttemptResult::cancelled, true);
    fixture.actions.advance(kSecond);
  }
  std::size_t late = 0;
  for (std::size_t at = 0; at < 4; ++at) late += fixture.backends[at]->sessions.size();
  EXPECT_EQ(late, 0u);
  for (std::uint64_t key = 100; key < 124; ++key) fixture.establish_session(key);
  EXPECT_LE(fixture.actions.rejections.size(), 2u);
}

TEST(Late, MessageTimesThatRiseAndFallAreLoadAndShedAPart) {
  BalancerFixture fixture(3);
  for (std::uint64_t key = 1; key <= 40; ++key) fixture.establish_session(key);
  for (const Micros time : {200, 300, 250, 180}) {
    fixture.balancer.on_message_latency_reported(*fixture.backends[0]->sessions[0], time * kMillisecond);
    fixture.actions.advance(kSecond);
  }
  EXPECT_FALSE(fixture.actions.migrated_sessions.empty());
  const auto queued =
      std::count_if(fixture.backends[0]->sessions.begin(), fixture.backends[0]->sessions.end(),
                    [](const Session* session) { return session->is_migration_queued; });
  EXPECT_LT(queued, std::ssize(fixture.backends[0]->sessions));
}

TEST(Late, ABackendThatRelapsesIsLeftLongerEachTimeAndNeverForGood) {
  BalancerFixture fixture(3);
  Backend& odd = *fixture.backends[0];
  std::vector<Micros> left;
  std::uint64_t key = 0;
  for (int turn = 0; turn < 3; ++turn) {
    while (odd.sessions.empty()) fixture.establish_session(++key), fixture.actions.advance(10 * kMillisecond);
    Session& session = *odd.sessions[0];
    for (int i = 0; i < 3; ++i)
      fixture.balancer.on_message_latency_reported(session, 5 * kSecond), fixture.actions.advance(kSecond);
    for (const auto& held : fixture.sessions)
      if (held->backend.get() == &odd) fixture.end_attempt(*held, AttemptResult::cancelled, true);
    const Micros from = fixture.actions.current_time;
    const std::size_t sent = fixture.attempts_to(odd);
    while (fixture.attempts_to(odd) == sent && fixture.actions.current_time < from + 60 * kSecond) {
      fixture.end_attempt(fixture.establish_session(++key), AttemptResult::succeeded, true);
      fixture.actions.advance(50 * kMillisecond);
    }
    left.push_back(fixture.actions.current_time - from);
  }
  EXPECT_GT(left[1], left[0] * 3 / 2);
  EXPECT_GT(left[2], left[1] * 3 / 2);
  EXPECT_LT(left[2], 30 * kSecond);
}

// All that is held in another zone is late by the same time: nobody there is ill, and the untried are no
// better.
TEST(Late, AWayThatIsLateForAllItsBackendsIsNoFaultOfTheirs) {
  BalancerFixture fixture(0);
  for (unsigned i = 0; i < 12; ++i) fixture.add_backend(0, i % 2);
  for (std::uint64_t key = 1; key <= 12; ++key) fixture.establish_session(key);
  tell(fixture, 1, 400 * kMillisecond, 3);
  const auto abroad = [&] {
    std::size_t sent = 0;
    for (const auto& backend : fixture.backends)
      sent += backend->zone == 1 ? fixture.attempts_to(*backend) : 0;
    return sent;
  };
  const std::size_t before = abroad();
  for (std::uint64_t key = 100; key < 130; ++key) fixture.establish_session(key);
  EXPECT_EQ(abroad(), before);
  EXPECT_TRUE(fixture.actions.rejections.empty());
  fixture.actions.advance(3 * kSecond);
  for (std::uint64_t key = 200; key < 230; ++key) fixture.establish_session(key);
  EXPECT_GT(abroad(), before);  // believed for a while, not for good
}

// One round of words is enough where all beyond tell the same: the strain that each alone looks like is
// undone.
TEST(Late, AllOfAZoneToldTheSameAtOnceIsTheWayAndDifferentTimesAreLoad) {
  const auto landed_abroad = [](Micros step) {
    BalancerFixture fixture(0);
    for (unsigned i = 0; i < 12; ++i) fixture.add_backend(0, i % 2);
    for (std::uint64_t key = 1; key <= 12; ++key) fixture.establish_session(key);
    Micros time = 400 * kMillisecond;
    for (const auto& backend : fixture.backends)
      if (backend->zone == 1 && !backend->sessions.empty())
        fixture.balancer.on_message_latency_reported(*backend->sessions[0], time += step);
    const std::size_t before = fixture.actions.attempts.size();
    for (std::uint64_t key = 100; key < 130; ++key) fixture.establish_session(key);
    return std::any_of(fixture.actions.attempts.begin() + static_cast<std::ptrdiff_t>(before),
                       fixture.actions.attempts.end(),
                       [](const auto& sent) { return sent.backend->zone == 1; });
  };
  EXPECT_FALSE(landed_abroad(2 * kMillisecond));
  EXPECT_TRUE(landed_abroad(kSecond));
}

TEST(Health, AllFailingTogetherSetsNobodyAside) {
  BalancerFixture fixture(6);
  for (std::uint64_t key = 1; key <= 60; ++key) {
    Session& session = fixture.request_session(key);
    while (session.backend)
      fixture.end_attempt(session, key % 3 ? AttemptResult::timed_out : AttemptResult::error);
    fixture.actions.advance(20 * kMillisecond);
  }
  const auto aside = std::count_if(fixture.backends.begin(), fixture.backends.end(),
                                   [](const auto& backend) { return backend->outlier.is_ejected(); });
  EXPECT_LE(aside, 3);
}

TEST(Health, SilentBackendIsEmptiedThoughTheListStillNamesIt) {
  BalancerConfig config = default_config();
  config.may_check_health = true;
  BalancerFixture fixture(4, config);
  for (std::uint64_t key = 1; key <= 12; ++key) fixture.establish_session(key);
  Backend& silent = *fixture.sessions[0]->backend;
  const std::size_t held = silent.sessions.size();
  fixture.answer_health_checks(silent, AttemptResult::timed_out, 400);
  EXPECT_EQ(fixture.actions.migrated_sessions.size(), held);
  for (const Session* session : fixture.actions.migrated_sessions) EXPECT_EQ(session->backend.get(), &silent);
}

TEST(Health, BackendThatWasSilentReturnsByGoodProbesAndKeepsItsRoom) {
  BalancerConfig config = default_config();
  config.may_check_health = true;
  BalancerFixture fixture(4, config);
  for (std::uint64_t key = 1; key <= 12; ++key) fixture.establish_session(key);
  Backend& cut = *fixture.sessions[0]->backend;
  while (!cut.sessions.empty())
    fixture.end_attempt(*cut.sessions.back(), AttemptResult::reset, true);  // the link broke: all at once
  fixture.answer_health_checks(cut, AttemptResult::timed_out, 400);
  EXPECT_TRUE(cut.outlier.is_ejected());
  fixture.answer_health_checks(cut, AttemptResult::succeeded, 200);
  EXPECT_FALSE(cut.outlier.is_ejected());
  const std::size_t before = fixture.attempts_to(cut);
  for (std::uint64_t key = 1; key <= 40; ++key) fixture.establish_session(key);
  EXPECT_GT(fixture.attempts_to(cut), before);      // what it lost at once taught nothing about its room,
  EXPECT_LE(fixture.attempts_to(cut), before + 4);  // but it may have come back cold, whatever the list says
}

TEST(Room, StrainedBackendIsRelievedAndWhatFitsNowhereIsDeclined) {
  BalancerFixture fixture(1);
  for (std::uint64_t key = 1; key <= 20; ++key) fixture.establish_session(key);
  fixture.balancer.on_message_latency_reported(*fixture.sessions[0], kSecond);
  EXPECT_GE(fixture.actions.migrated_sessions.size(), 1u);
  EXPECT_LE(fixture.actions.migrated_sessions.size(), 8u);
  EXPECT_EQ(fixture.final_answers(fixture.request_session(99)), 1u);
  fixture.actions.advance(30 * kSecond);  // and calm gives the room back
  EXPECT_EQ(fixture.final_answers(fixture.request_session(100)), 0u);
}

// Messages have a goal of their own: past it nothing is earned there, however far off the setup goal is.
TEST(Room, MessagesPastTheirGoalAreStrain) {
  BalancerConfig config = default_config();
  config.traffic_classes[0].message_latency_objective = 60 * kMillisecond;
  BalancerFixture fixture(2, config);
  for (std::uint64_t key = 1; key <= 20; ++key) fixture.establish_session(key);
  fixture.balancer.on_message_latency_reported(*fixture.backends[0]->sessions[0], 55 * kMillisecond);
  EXPECT_TRUE(fixture.actions.migrated_sessions.empty());
  fixture.balancer.on_message_latency_reported(*fixture.backends[0]->sessions[0],
                                               100 * kMillisecond);  // a quarter of the setup goal
  EXPECT_FALSE(fixture.actions.migrated_sessions.empty());
}

// Half of the goal in the mean is late for some: it gets no more, and what it holds stays.
TEST(Room, ABackendNearItsMessageGoalTakesInNoMoreAndKeepsWhatItHolds) {
  BalancerFixture fixture(4);
  for (std::uint64_t key = 1; key <= 60; ++key) fixture.establish_session(key);
  Backend& near = *fixture.backends[0];
  const std::size_t held = near.sessions.size(), sent = fixture.attempts_to(near);
  ASSERT_GE(held, 2u);
  fixture.balancer.on_message_latency_reported(*near.sessions[0], 100 * kMillisecond);
  for (std::uint64_t key = 100; key < 130; ++key) fixture.establish_session(key);
  EXPECT_LE(fixture.attempts_to(near), sent + 1);
  EXPECT_EQ(near.sessions.size(), held + fixture.attempts_to(near) - sent);
  EXPECT_TRUE(fixture.actions.migrated_sessions.empty() && fixture.actions.rejections.empty());
}

TEST(Room, ConnectionsThatBreakSinglyCloseNoBackend) {
  BalancerFixture fixture(4);
  for (std::uint64_t key = 1; key <= 40; ++key) fixture.establish_session(key);
  for (int round = 0; round < 8; ++round) {
    fixture.actions.advance(3 * kSecond);
    for (const auto& backend : fixture.backends)
      fixture.end_attempt(*backend->sessions.back(), AttemptResult::reset, true);
  }
  for (std::uint64_t key = 100; key <= 110; ++key) fixture.request_session(key);
  EXPECT_TRUE(fixture.actions.rejections.empty());
  EXPECT_TRUE(fixture.actions.migrated_sessions.empty());
}

// What crosses sockets in one moment is heard of over some milliseconds; and a new process is not the old
// one.
TEST(Room, ABackendThatDiedAndRestartedTakesTunnelsAgain) {
  BalancerFixture fixture(1);
  for (std::uint64_t key = 1; key <= 10; ++key) fixture.establish_session(key);
  for (Backend& backend = *fixture.backends[0]; !backend.sessions.empty();
       fixture.actions.advance(kMillisecond))
    fixture.end_attempt(*backend.sessions.back(), AttemptResult::reset, true);
  for (std::uint64_t key = 11; key <= 20; ++key) fixture.establish_session(key);
  EXPECT_EQ(fixture.backends[0]->sessions.size(), 10u);
  fixture.actions.advance(5 * kSecond);
  for (int i = 0; i < 6; ++i)
    fixture.end_attempt(*fixture.backends[0]->sessions.back(), AttemptResult::reset, true);
  fixture.balancer.update_endpoint(fixture.backends[0], EndpointState::ready, 1,
                                   fixture.actions.current_time - 30 * kSecond);
  for (std::uint64_t key = 21; key <= 30; ++key) fixture.establish_session(key);
  EXPECT_EQ(fixture.backends[0]->sessions.size(), 14u);
}

// A report of calm gives back what was held, and from there room only grows; also where warm-up is short.
TEST(Room, CalmReportsNeverCloseABackend) {
  BalancerConfig config = default_config();
  config.slow_start_duration = kSecond;
  BalancerFixture fixture(1, config);
  Backend& backend = *fixture.backends[0];
  for (std::uint64_t key = 1; key <= 10; ++key) fixture.establish_session(key);
  fixture.balancer.on_message_latency_reported(*backend.sessions[0], 500 * kMillisecond);
  const std::size_t moved = fixture.actions.migrated_sessions.size();
  EXPECT_GT(moved, 0u);
  for (Session* session : std::exchange(fixture.actions.migrated_sessions, {}))
    fixture.end_attempt(*session, AttemptResult::cancelled, true);
  const std::uint64_t group = backend.sessions[0]->client_key;
  fixture.actions.advance(3300 * kMillisecond);
  for (int i = 0; i < 10; ++i) fixture.establish_session(group);
  const std::size_t declined = fixture.actions.rejections.size();
  EXPECT_GT(declined, 0u);  // three warm-ups are no time for strain to pass
  for (int i = 0; i < 12; ++i) {
    fixture.actions.advance(kSecond);
    fixture.balancer.on_health_check_ended(backend, {AttemptResult::succeeded, kMillisecond}, {0.2});
    if (i > 3) fixture.establish_session(group);
  }
  EXPECT_EQ(fixture.actions.rejections.size(), declined);
}

// A rush of setups makes messages late for a moment; the report after it tells that the backend bears more.
TEST(Room, AReportAfterARushOpensWhatTheRushHadClosed) {
  const auto declined = [](Micros flat_settings) {
    BalancerFixture fixture(1);
    for (std::uint64_t key = 1; key <= 20; ++key) fixture.establish_session(key);
    fixture.actions.advance(flat_settings);
    fixture.balancer.on_message_latency_reported(*fixture.sessions[0], 200 * kMillisecond);
    for (Session* session : std::exchange(fixture.actions.migrated_sessions, {}))
      fixture.end_attempt(*session, AttemptResult::cancelled, true);
    fixture.actions.advance(100 * kMillisecond);
    fixture.balancer.on_health_check_ended(*fixture.backends[0], {AttemptResult::succeeded, kMillisecond},
                                           {0.6});
    const std::uint64_t group = fixture.backends[0]->sessions[0]->client_key;
    for (int i = 0; i < 4; ++i) fixture.establish_session(group);
    return fixture.actions.rejections.size();
  };
  EXPECT_EQ(declined(3 * kSecond), 0u);
  EXPECT_GE(declined(0), 3u);  // that report may be of a time before the rush
}

TEST(Room, WhatIsStrainedIsLookedAtAndTheDeadDoNotEatThePurse) {
  BalancerFixture fixture(4, health_check_config(2));
  for (std::uint64_t key = 1; key <= 20; ++key) fixture.establish_session(key);
  fixture.answer_health_checks(*fixture.backends[0], AttemptResult::connect_failed, 200);
  ASSERT_TRUE(fixture.backends[0]->outlier.is_ejected());
  fixture.balancer.on_message_latency_reported(*fixture.backends[1]->sessions[0], kSecond);
  const auto looks = [&](std::size_t i) {
    return std::count(fixture.actions.health_checks.begin(), fixture.actions.health_checks.end(),
                      fixture.backends[i].get());
  };
  for (int i = 0; i < 50; ++i) {  // every look fails at once
    const std::size_t seen = fixture.actions.health_checks.size();
    fixture.actions.advance(20 * kMillisecond);
    for (std::size_t at = seen; at < fixture.actions.health_checks.size(); ++at)
      fixture.balancer.on_health_check_ended(*fixture.actions.health_checks[at],
                                             {AttemptResult::connect_failed, kMillisecond}, {});
  }
  EXPECT_GE(looks(1), 2);
  EXPECT_LE(looks(0), 2);
}

TEST(Room, WhenMostAreStrainedTheOthersTakeNoRush) {
  BalancerFixture fixture(4);
  for (std::uint64_t key = 1; key <= 24; ++key) fixture.establish_session(key);
  for (std::size_t i = 0; i < 3; ++i)
    fixture.balancer.on_message_latency_reported(*fixture.backends[i]->sessions[0], kSecond);
  const std::size_t before = fixture.backends[3]->sessions.size();
  for (std::uint64_t key = 100; key <= 120; ++key) fixture.request_session(key);
  EXPECT_LE(fixture.backends[3]->sessions.size(), before);
}

// Nearly full it serves all in time: nothing more lands there, and nothing is moved for it.
TEST(Room, ANearlyFullBackendKeepsWhatItHolds) {
  BalancerFixture fixture(1);
  for (std::uint64_t key = 1; key <= 20; ++key) fixture.establish_session(key);
  fixture.balancer.on_health_check_ended(*fixture.backends[0], {AttemptResult::succeeded, kMillisecond},
                                         {0.85});
  EXPECT_TRUE(fixture.actions.migrated_sessions.empty());
  EXPECT_EQ(fixture.final_answers(fixture.request_session(99)), 1u);
  fixture.actions.advance(kSecond);
  fixture.balancer.on_health_check_ended(*fixture.backends[0], {AttemptResult::succeeded, kMillisecond},
                                         {1.1});
  EXPECT_FALSE(fixture.actions.migrated_sessions.empty());
}

TEST(Landing, HomeTakesTwiceTheMeanOnlyWhileItTellsCalm) {
  const auto at_home = [](double told) {
    BalancerConfig config = default_config();
    config.cross_zone_price = 0.02;
    BalancerFixture fixture(0, config);
    for (unsigned i = 0; i < 6; ++i) fixture.add_backend(0, i % 2);
    for (const auto& backend : fixture.backends)
      fixture.balancer.on_health_check_ended(*backend, {AttemptResult::succeeded, kMillisecond}, {told});
    std::size_t held = 0;
    for (std::uint64_t key = 1; key <= 120; ++key) {
      fixture.establish_session(key * 7919);
      fixture.actions.advance(100 * kMillisecond);
    }
    for (const auto& backend : fixture.backends) held += backend->zone == 0 ? backend->sessions.size() : 0;
    return held;
  };
  EXPECT_GT(at_home(0.2), 85u);
  EXPECT_LT(at_home(0.6), 80u);
}

// Nor do the few that are not strained take it all while the strained ones run nearly empty.
TEST(Room, WhatIsShedIsSharedUnderTheCap) {
  BalancerFixture fixture(4);
  for (std::uint64_t key = 1; key <= 40; ++key) fixture.establish_session(key);
  for (std::size_t i = 0; i < 2; ++i)
    fixture.balancer.on_message_latency_reported(*fixture.backends[i]->sessions[0], kSecond);
  for (Session* session : std::exchange(fixture.actions.migrated_sessions, {}))
    fixture.end_attempt(*session, AttemptResult::cancelled, true);
  fixture.actions.advance(2 * kSecond);
  std::size_t held = 0, most = 0;
  for (std::uint64_t key = 100; key < 200; ++key) fixture.establish_session(key);
  for (const auto& backend : fixture.backends)
    held += backend->sessions.size(), most = std::max(most, backend->sessions.size());
  EXPECT_LE(most, held / 2 + 1);  // twice the mean of four
  EXPECT_GT(fixture.backends[0]->sessions.size() + fixture.backends[1]->sessions.size(), held / 4);
}

// A group is paid for by every backend that holds any of it: in strain its members stay together.
TEST(Room, InStrainAGroupDoesNotSpread) {
  BalancerFixture fixture(2);
  for (std::uint64_t key = 1; key <= 40; ++key) fixture.establish_session(key);
  for (auto& backend : fixture.backends)
    fixture.balancer.on_message_latency_reported(*backend->sessions[0], 300 * kMillisecond);
  for (Session* session : std::vector<Session*>(fixture.actions.migrated_sessions))
    fixture.end_attempt(*session, AttemptResult::cancelled, true);
  Backend& backend = *fixture.backends[0];
  for (int i = 0; i < 3; ++i) fixture.end_attempt(*backend.sessions.back(), AttemptResult::cancelled, true);
  const std::uint64_t known = backend.sessions[0]->hash_key;
  EXPECT_EQ(fixture.final_answers(fixture.request_session(9999)), 1u);  // a stranger to both
  EXPECT_EQ(fixture.request_session(known).backend.get(), &backend);
}

TEST(Room, TenantOverItsShareIsDeclinedInStrainOnly) {
  BalancerConfig config = default_config();
  config.tenant_shares = {3, 100};
  BalancerFixture fixture(4, config);
  const auto arrive = [&](std::size_t tenant, std::uint64_t key) -> Session& {
    Session& session = fixture.make_session(key);
    session.tenant = tenant;
    fixture.balancer.admit(fixture.sessions.back());
    if (session.backend) fixture.balancer.on_established(session, 20 * kMillisecond);
    return session;
  };
  for (std::uint64_t key = 1; key <= 12; ++key) EXPECT_EQ(fixture.final_answers(arrive(key % 2, key)), 0u);
  fixture.balancer.on_message_latency_reported(*fixture.backends[0]->sessions[0], 300 * kMillisecond);
  EXPECT_EQ(fixture.final_answers(arrive(0, 50)), 1u);
  EXPECT_EQ(fixture.final_answers(arrive(1, fixture.backends[1]->sessions[0]->client_key)), 0u);
}

TEST(Room, SetupsThatAllTimeOutGetMoreTime) {
  BalancerFixture fixture(6);
  for (std::uint64_t key = 1; key <= 10; ++key) {
    Session& session = fixture.request_session(key);
    fixture.balancer.on_attempt_ended(
        session, {AttemptResult::timed_out, fixture.actions.attempts.back().time_limit}, false, {});
  }
  EXPECT_GT(fixture.actions.attempts.back().time_limit, 400 * kMillisecond);
}

// ---- Many relays: each sees little ----------------------------------------------------------------------

TEST(Scale, OneTunnelLostDoesNotCloseItsBackendForGood) {
  BalancerFixture fixture(40);
  Session& session = fixture.establish_session(5);
  Backend& home = *session.backend;
  fixture.end_attempt(session, AttemptResult::reset, true);
  fixture.actions.advance(15 * kSecond);  // and calm gives the room back
  EXPECT_EQ(fixture.request_session(5).backend.get(), &home);
}

// Thirty relays with a tunnel each on one strained backend: not all of them leave it, and who shares a group
// goes or stays together.
TEST(Scale, RelaysThatHoldOneTunnelEachShedTheSameGroups) {
  std::map<std::uint64_t, std::set<bool>> went;
  for (std::uint64_t relay = 0; relay < 30; ++relay) {
    BalancerFixture fixture(1);
    fixture.establish_session(100 + relay % 10);
    fixture.balancer.on_message_latency_reported(*fixture.sessions[0], 300 * kMillisecond);
    went[relay % 10].insert(!fixture.actions.migrated_sessions.empty());
  }
  std::size_t moved = 0;
  for (const auto& [group, fates] : went) {
    EXPECT_EQ(fates.size(), 1u);
    moved += fates.contains(true);
  }
  EXPECT_LE(moved, 5u);
}

// A relay that knows few backends, most of them strained, takes the unknown to be no better.
TEST(Scale, UnknownBackendsAreTakenToBeAsShortOfRoomAsTheKnown) {
  const auto declined = [](bool strained) {
    BalancerFixture fixture(40);
    for (std::uint64_t key = 1; key <= 3; ++key) fixture.establish_session(key);
    for (int i = 0; strained && i < 2; ++i) {
      for (std::size_t session = 0; session < 3; ++session)
        fixture.balancer.on_message_latency_reported(*fixture.sessions[session], kSecond);
      fixture.actions.advance(kSecond);
    }
    std::size_t count = 0;
    for (std::uint64_t key = 100; key < 140; ++key)
      count += fixture.final_answers(fixture.request_session(key));
    return count;
  };
  EXPECT_EQ(declined(false), 0u);
  EXPECT_GE(declined(true), 10u);
  EXPECT_LE(declined(true), 38u);  // but it does not shut them out
}

// A release in the same strain: what has just started is empty, and taken for short it would stay so.
TEST(Scale, FreshBackendsAreNotTakenToBeShortOfRoom) {
  BalancerFixture fixture(3);
  for (std::uint64_t key = 1; key <= 12; ++key) fixture.establish_session(key);
  for (int i = 0; i < 30; ++i) fixture.add_backend(fixture.actions.current_time - 15 * kSecond);
  for (int i = 0; i < 2; ++i) {
    for (const auto& session : fixture.sessions)
      fixture.balancer.on_message_latency_reported(*session, kSecond);
    fixture.actions.advance(kSecond);
  }
  std::size_t declined = 0;
  for (std::uint64_t key = 100; key < 140; ++key)
    declined += fixture.final_answers(fixture.request_session(key));
  EXPECT_EQ(declined, 0u);
}

// A relay that has just started knows one backend, from a probe that found it strained.
TEST(Strain, OneReportDoesNotCloseAFreshRelay) {
  BalancerFixture fixture(9);
  fixture.balancer.on_health_check_ended(*fixture.backends[4], {AttemptResult::succeeded, 10 * kMillisecond},
                                         {0.96});
  for (std::uint64_t key = 1; key <= 30; ++key) fixture.establish_session(key);
  EXPECT_LE(fixture.actions.rejections.size(), 1u);
}

// Calm reports are knowledge too: two strained of six heard from are no general strain.
TEST(Strain, CalmReportsSpeakAgainstGeneralStrain) {
  BalancerFixture fixture(6);
  for (std::size_t i = 0; i < 6; ++i) {
    fixture.balancer.on_health_check_ended(
        *fixture.backends[i], {AttemptResult::succeeded, 10 * kMillisecond}, {i == 0 || i == 5 ? 0.96 : 0.3});
    fixture.actions.advance(500 * kMillisecond);
  }
  for (std::uint64_t key = 1; key <= 30; ++key) fixture.establish_session(key);
  EXPECT_LE(fixture.actions.rejections.size(), 1u);
}

TEST(Scale, ManyBackendsInDoubtArePaidForFromThePurse) {
  BalancerFixture fixture(60, health_check_config(200));
  for (std::uint64_t key = 1; key <= 20; ++key) {
    Session& session = fixture.request_session(key);
    while (session.backend) fixture.end_attempt(session, AttemptResult::connect_failed);
  }
  fixture.actions.advance(20 * kSecond);
  EXPECT_GE(fixture.actions.health_checks.size(), 4u);
  EXPECT_LE(fixture.actions.health_checks.size(), 30u);  // a client pays for one
}

// In a break no new client pays; what was saved up lasts until the backends are calm again.
TEST(Scale, WhatWasSavedUpLastsThroughABreak) {
  BalancerFixture fixture(4, health_check_config(200));
  for (std::uint64_t key = 1; key <= 30; ++key) fixture.establish_session(key);
  for (int i = 0; i < 30; ++i) {
    for (const auto& backend : fixture.backends) {
      if (!backend->sessions.empty())
        fixture.balancer.on_message_latency_reported(*backend->sessions[0], 200 * kMillisecond);
      if (backend->health_check.is_pending())
        fixture.balancer.on_health_check_ended(*backend, {AttemptResult::succeeded, kMillisecond}, {});
    }
    fixture.actions.advance(100 * kMillisecond);
  }
  EXPECT_GE(fixture.actions.health_checks.size(), 16u);
}

// A zone with one backend of ten is not drowned by its own clients.
TEST(Scale, HomeTakesNoMoreThanItsPartOfTheFleetBears) {
  BalancerConfig config = default_config();
  config.cross_zone_price = 0.02;
  BalancerFixture fixture(0, config);
  for (unsigned i = 0; i < 20; ++i) fixture.add_backend(0, i < 2 ? 0 : 1);
  for (std::uint64_t key = 1; key <= 100; ++key)
    fixture.end_attempt(fixture.establish_session(key), AttemptResult::succeeded, true);
  const std::size_t home =
      fixture.attempts_to(*fixture.backends[0]) + fixture.attempts_to(*fixture.backends[1]);
  EXPECT_GE(home, 5u);
  EXPECT_LE(home, 35u);
}

// Its few connections are taken now and then: that is no proof that it is ill.
TEST(Scale, ABackendThatRefusesSomeConnectsIsNotSetAside) {
  BalancerFixture fixture(6);
  Backend& crowded = *fixture.backends[0];
  unsigned came = 0;
  for (std::uint64_t key = 1; key <= 400; ++key) {
    Session& session = fixture.request_session(key * 7919);
    while (session.backend.get() == &crowded && ++came % 3 == 0)
      fixture.end_attempt(session, AttemptResult::connect_failed);
    if (session.backend) fixture.balancer.on_established(session, 20 * kMillisecond);
    if (session.backend) fixture.end_attempt(session, AttemptResult::succeeded, true);
    fixture.actions.advance(50 * kMillisecond);
    ASSERT_FALSE(crowded.outlier.is_ejected());
  }
  EXPECT_GE(came, 40u);
  EXPECT_TRUE(fixture.actions.rejections.empty());
}

// A release takes all of the own zone but one: that one must not be given what five bore, nor anybody
// declined.
TEST(Scale, ARelayWithOneBackendLeftInItsZoneSendsMostAbroad) {
  BalancerConfig config = default_config();
  config.cross_zone_price = 0.02;
  BalancerFixture fixture(0, config);
  for (unsigned i = 0; i < 10; ++i) fixture.add_backend(0, i % 2);
  for (std::uint64_t key = 1; key <= 40; ++key)
    fixture.end_attempt(fixture.establish_session(key), AttemptResult::succeeded, true);
  for (std::size_t i = 2; i < 10; i += 2) fixture.set_endpoint_state(i, EndpointState::draining);
  const std::size_t before = fixture.attempts_to(*fixture.backends[0]);
  for (std::uint64_t key = 100; key < 160; ++key) fixture.establish_session(key);
  EXPECT_TRUE(fixture.actions.rejections.empty());
  EXPECT_LE(fixture.attempts_to(*fixture.backends[0]) - before, 24u);
  for (std::size_t i = 1; i < 10; i += 2) EXPECT_GE(fixture.backends[i]->sessions.size(), 3u);
}

// The clients of a relay that went away come all at once: they do not belong at home, and would drown it.
TEST(Scale, InAStormHomeTakesNoMoreThanTheRest) {
  BalancerConfig config = default_config();
  config.cross_zone_price = 0.02;
  BalancerFixture fixture(0, config);
  for (unsigned i = 0; i < 6; ++i) fixture.add_backend(0, i % 3);
  for (std::uint64_t key = 1; key <= 90; ++key) {
    Session& session = fixture.make_session(key);
    session.is_reconnecting = true;
    fixture.balancer.admit(fixture.sessions.back());
    if (session.backend) fixture.balancer.on_established(session, 20 * kMillisecond);
    fixture.actions.advance(10 * kMillisecond);
  }
  EXPECT_LE(fixture.backends[0]->sessions.size() + fixture.backends[3]->sessions.size(), 42u);
  EXPECT_GE(fixture.backends[0]->sessions.size() + fixture.backends[3]->sessions.size(), 18u);
}

// An operator's word stands above the list's, until it is taken back once.
TEST(DisabledBackends, ABannedBackendGetsNothingWhateverTheListSays) {
  BalancerFixture fixture(2);
  Backend& out = *fixture.backends[0];
  while (fixture.attempts_to(out) == 0) fixture.establish_session(fixture.sessions.size() + 1);
  fixture.balancer.set_disabled(out, true);
  EXPECT_FALSE(fixture.actions.migrated_sessions.empty());
  const std::size_t before = fixture.attempts_to(out);
  fixture.set_endpoint_state(0, EndpointState::ready);
  fixture.set_endpoint_state(0, EndpointState::gone);
  fixture.set_endpoint_state(0, EndpointState::ready);
  for (std::uint64_t key = 100; key < 130; ++key) fixture.establish_session(key);
  EXPECT_EQ(fixture.attempts_to(out), before);
  fixture.balancer.set_disabled(out, true);
  fixture.balancer.set_disabled(out, false);
  EXPECT_EQ(out.state, EndpointState::ready);
  fixture.balancer.set_disabled(out, true);
  fixture.set_endpoint_state(0, EndpointState::draining);
  fixture.balancer.set_disabled(out, false);
  EXPECT_EQ(out.state, EndpointState::draining);  // the list's own word is not undone with it
}

// The list is late: what is called back was most likely restarted meanwhile, and full load would push it
// over.
TEST(DisabledBackends, WhatIsCalledBackIsColdUntilTheListTellsItsStart) {
  BalancerFixture fixture(2);
  Backend& out = *fixture.backends[0];
  fixture.balancer.set_disabled(out, true);
  fixture.actions.advance(3 * kSecond);
  fixture.balancer.set_disabled(out, false);
  EXPECT_EQ(out.slow_start.started_at(), fixture.actions.current_time);
  fixture.balancer.update_endpoint(fixture.backends[0], EndpointState::ready, 1,
                                   fixture.actions.current_time - kSecond);
  EXPECT_EQ(out.slow_start.started_at(), fixture.actions.current_time - kSecond);
  fixture.balancer.set_disabled(out, true);
  fixture.actions.advance(3 * kSecond);
  fixture.balancer.update_endpoint(fixture.backends[0], EndpointState::ready, 1,
                                   fixture.actions.current_time - kSecond);  // told while it is out
  fixture.balancer.set_disabled(out, false);
  EXPECT_EQ(out.slow_start.started_at(), fixture.actions.current_time - kSecond);
}

// Two processes with one relay's turns would send a cold backend twice what it may get.
TEST(DisabledBackends, ARelayWithASuccessorSendsNothingToAColdBackend) {
  BalancerFixture fixture(1);
  Backend& cold = fixture.add_backend(fixture.actions.current_time);
  fixture.balancer.export_state();
  for (int i = 0; i < 40; ++i) {
    fixture.establish_session(static_cast<std::uint64_t>(i) + 1);
    fixture.actions.advance(kSecond / 4);
  }
  EXPECT_EQ(fixture.attempts_to(cold), 0u);
  EXPECT_EQ(fixture.attempts_to(*fixture.backends[0]), 40u);
}

// Replaced again and again, a relay that forgets is always young: what it alone knows would be lost.
TEST(DisabledBackends, ASuccessorRemembersWhatWasLearned) {
  BalancerFixture fixture(3), next(3);
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
  fixture.balancer.set_disabled(*fixture.backends[1],
                                false);  // cold from now on, as far as this relay can know
  next.actions.current_time = fixture.actions.current_time;
  next.balancer.import_state(fixture.balancer.export_state());
  EXPECT_TRUE(next.backends[0]->outlier.is_ejected());
  EXPECT_EQ(next.backends[1]->slow_start.started_at(), fixture.backends[1]->slow_start.started_at());
  BalancerFixture later(3);
  later.balancer.update_endpoint(later.backends[0], EndpointState::ready, 1,
                                 later.actions.current_time - kSecond);
  later.balancer.import_state(fixture.balancer.export_state());
  EXPECT_FALSE(
      later.backends[0]->outlier.is_ejected());  // the list tells of a start that the other did not know of
}

// Discovery is one service for all: asked by dozens within a second, it serves no call before that has waited
// in vain, and nobody ever hears the list again. Few relays ask again at once. Four seconds are left for the
// wait, so many relays use all of them, evenly.
TEST(EndpointList, ManyRelaysThatLostItTogetherDoNotAskTogether) {
  const auto asked_in_a_second = [](unsigned relay_count) {
    std::map<Micros, int> seconds;
    for (unsigned i = 0; i < relay_count; ++i) {
      BalancerConfig config = default_config();
      config.must_request_endpoints = true;
      config.relay_count = relay_count;
      RecordingActions actions;
      Balancer balancer(actions, config, 100 + i);
      balancer.on_discovery_failed();
      actions.advance(config.endpoint_request_interval);
      EXPECT_EQ(actions.endpoint_watches.size(), 2u);  // at the start, and in time after the failure
      if (actions.endpoint_watches.size() == 2)
        ++seconds[(actions.endpoint_watches[1] - actions.endpoint_watches[0]) / kSecond];
    }
    int most = 0;
    for (const auto& [second, count] : seconds) most = std::max(most, count);
    return most;
  };
  EXPECT_LE(asked_in_a_second(48), 28);
  EXPECT_LE(asked_in_a_second(200), 58);  // an even spread has 50
  EXPECT_EQ(asked_in_a_second(3), 3);
}

}  // namespace
}  // namespace cherryrail::testing
