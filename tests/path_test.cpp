// The ordinary path and each trouble met, one story each.
#include <gtest/gtest.h>

#include <map>
#include <set>

#include "helpers.hpp"

namespace cherryrail::testing {
namespace {

TEST(Landing, OneKeyLandsOnOneBackendAtEveryRelayUntilTheCap) {
  Story one(8), other(8);
  for (std::uint64_t key = 1; key <= 8; ++key) {
    EXPECT_EQ(one.open(key).ep->name, other.open(key).ep->name);
  }
  Story hot(8);
  std::set<const Backend*> used;
  for (int i = 0; i < 40; ++i) used.insert(hot.open(5).ep.get());
  EXPECT_GT(used.size(), 4u);  // a hot key is spread once its first backends are full
  for (const auto& ep : hot.eps)
    EXPECT_LE(ep->held.size(), ep->zone == 0 ? 11u : 8u);  // the own zone's cap is wider
}

TEST(Landing, FailedSetupTriesTheNextRankedWhileSetupsRemain) {
  Story story(6);
  Tunnel& tun = story.arrive(3);
  for (int i = 0; i < 4; ++i) story.fail(tun, Result::connect_failed);
  ASSERT_EQ(story.host.sent.size(), 4u);
  std::set<const Backend*> tried;
  for (const auto& sent : story.host.sent) tried.insert(sent.ep);
  EXPECT_EQ(tried.size(), 4u);
  EXPECT_EQ(story.answers(tun), 1u);
}

TEST(Landing, SetupTimeoutLeavesTimeForOthersBeforeTheClientGivesUp) {
  Story story(3);
  Tunnel& tun = story.arrive(1);
  EXPECT_LE(3 * story.host.sent[0].limit, tun.profile->client_timeout);
}

TEST(Landing, BackendThatWarmsUpGetsARisingShare) {
  Story story(3);
  Backend& young = story.add(story.host.clock - 2 * kS);
  const auto share = [&] {
    const std::size_t before = story.sent_to(young);
    for (std::uint64_t i = 0; i < 200; ++i) {
      Tunnel& tun = story.open(1000 + i * 7919);
      story.host.pass(10 * kMs);
      if (tun.ep) story.fail(tun, Result::opened, true);
    }
    return story.sent_to(young) - before;
  };
  const std::size_t early = share();  // the same keys, young and warm
  story.host.pass(20 * kS);
  const std::size_t late = share();
  EXPECT_GT(early, 0u);
  EXPECT_GT(late, 2 * early);
}

TEST(Movers, DrainingBackendIsEmptiedByABoundedPool) {
  Story story(1);
  for (std::uint64_t key = 1; key <= 30; ++key) story.open(key);
  story.add(0);
  story.list(0, Standing::draining);
  const std::size_t first = story.host.moved.size();
  EXPECT_GE(first, 1u);
  EXPECT_LT(first, 30u);
  story.fail(*story.host.moved[0], Result::cancelled, true);  // its mover is free for the next
  EXPECT_EQ(story.host.moved.size(), first + 1);
  story.host.pass(60 * kS);  // outcomes that never come hold a mover for a second only
  EXPECT_EQ(story.host.moved.size(), 30u);
}

TEST(Movers, ARelayThatEndsSendsItsClientsAwayOverTime) {
  Story story(3);
  for (std::uint64_t key = 1; key <= 60; ++key) story.open(key);
  story.relay.retire();
  std::size_t most = 0;
  for (int i = 0; i < 16; ++i) {  // within three quarters of the client timeout
    const std::size_t before = story.host.moved.size();
    story.host.pass(100 * kMs);
    most = std::max(most, story.host.moved.size() - before);
    for (std::size_t k = before; k < story.host.moved.size(); ++k)
      story.fail(*story.host.moved[k], Result::cancelled, true);
  }
  EXPECT_LE(most, 15u);
  EXPECT_EQ(story.host.moved.size(), 60u);
}

TEST(Movers, TunnelsOpenAtTheStartMoveLikeTheOthers) {
  Story story(1);
  story.fresh(1);
  story.relay.adopt(story.tuns[0], story.eps[0]);
  story.add(0);
  story.list(0, Standing::draining);
  ASSERT_EQ(story.host.moved.size(), 1u);
  EXPECT_EQ(story.host.moved[0], story.tuns[0].get());
}

// Moved with no place to go, a client is declined and waits longer each time; until then the drain still
// serves.
TEST(Movers, TunnelOnADrainingBackendStaysUntilSomethingWouldTakeIt) {
  Story story(1);
  story.open(1);
  story.list(0, Standing::draining);
  story.host.pass(3 * kS);
  EXPECT_TRUE(story.host.moved.empty());
  story.add(0);
  story.host.pass(kS);
  EXPECT_EQ(story.host.moved.size(), 1u);
}

TEST(Movers, QueueFullWaitsALittleThenEndsTheConnection) {
  Story story(1);
  for (std::uint64_t key = 1; key <= 40; ++key) story.open(key);
  story.add(0);
  story.list(0, Standing::draining);
  const std::size_t at_once = story.host.moved.size();
  story.host.pass(110 * kMs);
  EXPECT_GT(story.host.moved.size(), at_once);
}

TEST(List, SubscribesAtTheStartAndAgainAfterFailure) {
  SiteTerms terms = plain_terms();
  terms.list_on_request = true;
  Story story(1, terms);
  ASSERT_EQ(story.host.followed.size(), 1u);
  for (int i = 0; i < 12; ++i) {
    story.relay.list_failed();
    story.host.pass(terms.ask_within / 4 + kMs);
  }
  EXPECT_EQ(story.host.followed.size(), 13u);
}

TEST(Health, IllBackendIsSetAsideAndReturnsByATrickle) {
  Story story(6);
  Backend& ill = *story.eps[0];
  const auto serve = [&](int tunnels, bool heals) {
    for (int i = 0; i < tunnels; ++i) {
      Tunnel& tun = story.arrive(story.host.sent.size() * 31 + 1);
      while (tun.ep.get() == &ill && !heals) story.fail(tun, Result::error);
      if (tun.ep) story.relay.established(tun, 20 * kMs);
      if (tun.ep) story.fail(tun, Result::opened, true);
      story.host.pass(50 * kMs);
    }
  };
  serve(60, false);
  EXPECT_TRUE(ill.aside);
  const std::size_t while_ill = story.sent_to(ill);
  serve(100, false);  // five seconds: no more than a trickle
  EXPECT_LE(story.sent_to(ill) - while_ill, 5u);
  serve(400, true);
  EXPECT_FALSE(ill.aside);
}

// When all fail together the cause is shared: setting backends aside would drown the rest.
// Tells of every held backend in this zone, once a second, that its messages take so long.
void tell(Story& story, unsigned zone, Micros time, int seconds) {
  for (int i = 0; i < seconds; ++i) {
    for (const auto& ep : story.eps)
      if (ep->zone == zone && !ep->held.empty()) story.relay.delay_told(*ep->held[0], time);
    story.host.pass(kS);
  }
}

// A hanging process, or a way that is slow for this relay alone: shedding a third of it each time helps
// nobody.
TEST(Late, WhatIsLateByTheSameTimeAgainAndAgainIsLeftByAllThatCannotBeInTimeThere) {
  SiteTerms terms = plain_terms();
  terms.profiles.push_back(terms.profiles[0]);
  terms.profiles[1].index = 1;
  terms.profiles[1].message_goal = kS;
  Story story(0, terms);
  Backend& odd = story.add(0, 1);
  for (int i = 0; i < 3; ++i) story.add(0, 0);
  for (std::uint64_t key = 1; key <= 40; ++key) {
    story.fresh(key).profile = &story.relay.profiles()[key % 2];
    story.relay.take(story.tuns.back());
    story.relay.established(*story.tuns.back(), 20 * kMs);
  }
  const std::size_t sent = story.sent_to(odd);
  ASSERT_GE(sent, 6u);
  tell(story, 1, 300 * kMs, 3);
  EXPECT_TRUE(std::all_of(odd.held.begin(), odd.held.end(),
                          [](const Tunnel* tun) { return tun->queued || tun->profile->index == 1; }));
  EXPECT_TRUE(std::any_of(odd.held.begin(), odd.held.end(), [](const Tunnel* tun) { return !tun->queued; }));
  for (std::uint64_t key = 100; key < 120; ++key) story.open(key);
  EXPECT_EQ(story.sent_to(odd), sent);
}

// Two of six in time: measured with the late ones they seem full, and the first words looked like general
// strain.
TEST(Late, WhereFewAreInTimeTheyTakeInWhatTheLateOnesCannotServe) {
  Story story(6);
  for (std::uint64_t key = 1; key <= 36; ++key) story.open(key);
  for (int i = 0; i < 6; ++i) {
    for (std::size_t at = 0; at < 4; ++at)
      if (!story.eps[at]->held.empty()) story.relay.delay_told(*story.eps[at]->held[0], 400 * kMs);
    for (const auto& tun : story.tuns)
      if (std::count(story.host.moved.begin(), story.host.moved.end(), tun.get()) && tun->ep)
        story.fail(*tun, Result::cancelled, true);
    story.host.pass(kS);
  }
  std::size_t late = 0;
  for (std::size_t at = 0; at < 4; ++at) late += story.eps[at]->held.size();
  EXPECT_EQ(late, 0u);
  for (std::uint64_t key = 100; key < 124; ++key) story.open(key);
  EXPECT_LE(story.host.declined.size(), 2u);
}

TEST(Late, MessageTimesThatRiseAndFallAreLoadAndShedAPart) {
  Story story(3);
  for (std::uint64_t key = 1; key <= 40; ++key) story.open(key);
  for (const Micros time : {200, 300, 250, 180}) {
    story.relay.delay_told(*story.eps[0]->held[0], time * kMs);
    story.host.pass(kS);
  }
  EXPECT_FALSE(story.host.moved.empty());
  const auto queued = std::count_if(story.eps[0]->held.begin(), story.eps[0]->held.end(),
                                    [](const Tunnel* tun) { return tun->queued; });
  EXPECT_LT(queued, std::ssize(story.eps[0]->held));
}

TEST(Late, ABackendThatRelapsesIsLeftLongerEachTimeAndNeverForGood) {
  Story story(3);
  Backend& odd = *story.eps[0];
  std::vector<Micros> left;
  std::uint64_t key = 0;
  for (int turn = 0; turn < 3; ++turn) {
    while (odd.held.empty()) story.open(++key), story.host.pass(10 * kMs);
    Tunnel& tun = *odd.held[0];
    for (int i = 0; i < 3; ++i) story.relay.delay_told(tun, 5 * kS), story.host.pass(kS);
    for (const auto& held : story.tuns)
      if (held->ep.get() == &odd) story.fail(*held, Result::cancelled, true);
    const Micros from = story.host.clock;
    const std::size_t sent = story.sent_to(odd);
    while (story.sent_to(odd) == sent && story.host.clock < from + 60 * kS) {
      story.fail(story.open(++key), Result::opened, true);
      story.host.pass(50 * kMs);
    }
    left.push_back(story.host.clock - from);
  }
  EXPECT_GT(left[1], left[0] * 3 / 2);
  EXPECT_GT(left[2], left[1] * 3 / 2);
  EXPECT_LT(left[2], 30 * kS);
}

// All that is held in another zone is late by the same time: nobody there is ill, and the untried are no
// better.
TEST(Late, AWayThatIsLateForAllItsBackendsIsNoFaultOfTheirs) {
  Story story(0);
  for (unsigned i = 0; i < 12; ++i) story.add(0, i % 2);
  for (std::uint64_t key = 1; key <= 12; ++key) story.open(key);
  tell(story, 1, 400 * kMs, 3);
  const auto abroad = [&] {
    std::size_t sent = 0;
    for (const auto& ep : story.eps) sent += ep->zone == 1 ? story.sent_to(*ep) : 0;
    return sent;
  };
  const std::size_t before = abroad();
  for (std::uint64_t key = 100; key < 130; ++key) story.open(key);
  EXPECT_EQ(abroad(), before);
  EXPECT_TRUE(story.host.declined.empty());
  story.host.pass(3 * kS);
  for (std::uint64_t key = 200; key < 230; ++key) story.open(key);
  EXPECT_GT(abroad(), before);  // believed for a while, not for good
}

// One round of words is enough where all beyond tell the same: the strain that each alone looks like is
// undone.
TEST(Late, AllOfAZoneToldTheSameAtOnceIsTheWayAndDifferentTimesAreLoad) {
  const auto landed_abroad = [](Micros step) {
    Story story(0);
    for (unsigned i = 0; i < 12; ++i) story.add(0, i % 2);
    for (std::uint64_t key = 1; key <= 12; ++key) story.open(key);
    Micros time = 400 * kMs;
    for (const auto& ep : story.eps)
      if (ep->zone == 1 && !ep->held.empty()) story.relay.delay_told(*ep->held[0], time += step);
    const std::size_t before = story.host.sent.size();
    for (std::uint64_t key = 100; key < 130; ++key) story.open(key);
    return std::any_of(story.host.sent.begin() + static_cast<std::ptrdiff_t>(before), story.host.sent.end(),
                       [](const auto& sent) { return sent.ep->zone == 1; });
  };
  EXPECT_FALSE(landed_abroad(2 * kMs));
  EXPECT_TRUE(landed_abroad(kS));
}

TEST(Health, AllFailingTogetherSetsNobodyAside) {
  Story story(6);
  for (std::uint64_t key = 1; key <= 60; ++key) {
    Tunnel& tun = story.arrive(key);
    while (tun.ep) story.fail(tun, key % 3 ? Result::timed_out : Result::error);
    story.host.pass(20 * kMs);
  }
  const auto aside =
      std::count_if(story.eps.begin(), story.eps.end(), [](const auto& ep) { return ep->aside; });
  EXPECT_LE(aside, 3);
}

TEST(Health, SilentBackendIsEmptiedThoughTheListStillNamesIt) {
  SiteTerms terms = plain_terms();
  terms.may_probe = true;
  Story story(4, terms);
  for (std::uint64_t key = 1; key <= 12; ++key) story.open(key);
  Backend& silent = *story.tuns[0]->ep;
  const std::size_t held = silent.held.size();
  story.probe(silent, Result::timed_out, 400);
  EXPECT_EQ(story.host.moved.size(), held);
  for (const Tunnel* tun : story.host.moved) EXPECT_EQ(tun->ep.get(), &silent);
}

TEST(Health, BackendThatWasSilentReturnsByGoodProbesAndKeepsItsRoom) {
  SiteTerms terms = plain_terms();
  terms.may_probe = true;
  Story story(4, terms);
  for (std::uint64_t key = 1; key <= 12; ++key) story.open(key);
  Backend& cut = *story.tuns[0]->ep;
  while (!cut.held.empty()) story.fail(*cut.held.back(), Result::reset, true);  // the link broke: all at once
  story.probe(cut, Result::timed_out, 400);
  EXPECT_TRUE(cut.aside);
  story.probe(cut, Result::opened, 200);
  EXPECT_FALSE(cut.aside);
  const std::size_t before = story.sent_to(cut);
  for (std::uint64_t key = 1; key <= 40; ++key) story.open(key);
  EXPECT_GT(story.sent_to(cut), before);      // what it lost at once taught nothing about its room,
  EXPECT_LE(story.sent_to(cut), before + 4);  // but it may have come back cold, whatever the list says
}

TEST(Room, StrainedBackendIsRelievedAndWhatFitsNowhereIsDeclined) {
  Story story(1);
  for (std::uint64_t key = 1; key <= 20; ++key) story.open(key);
  story.relay.delay_told(*story.tuns[0], kS);
  EXPECT_GE(story.host.moved.size(), 1u);
  EXPECT_LE(story.host.moved.size(), 8u);
  EXPECT_EQ(story.answers(story.arrive(99)), 1u);
  story.host.pass(30 * kS);  // and calm gives the room back
  EXPECT_EQ(story.answers(story.arrive(100)), 0u);
}

// Messages have a goal of their own: past it nothing is earned there, however far off the setup goal is.
TEST(Room, MessagesPastTheirGoalAreStrain) {
  SiteTerms terms = plain_terms();
  terms.profiles[0].message_goal = 60 * kMs;
  Story story(2, terms);
  for (std::uint64_t key = 1; key <= 20; ++key) story.open(key);
  story.relay.delay_told(*story.eps[0]->held[0], 55 * kMs);
  EXPECT_TRUE(story.host.moved.empty());
  story.relay.delay_told(*story.eps[0]->held[0], 100 * kMs);  // a quarter of the setup goal
  EXPECT_FALSE(story.host.moved.empty());
}

// Half of the goal in the mean is late for some: it gets no more, and what it holds stays.
TEST(Room, ABackendNearItsMessageGoalTakesInNoMoreAndKeepsWhatItHolds) {
  Story story(4);
  for (std::uint64_t key = 1; key <= 60; ++key) story.open(key);
  Backend& near = *story.eps[0];
  const std::size_t held = near.held.size(), sent = story.sent_to(near);
  ASSERT_GE(held, 2u);
  story.relay.delay_told(*near.held[0], 100 * kMs);
  for (std::uint64_t key = 100; key < 130; ++key) story.open(key);
  EXPECT_LE(story.sent_to(near), sent + 1);
  EXPECT_EQ(near.held.size(), held + story.sent_to(near) - sent);
  EXPECT_TRUE(story.host.moved.empty() && story.host.declined.empty());
}

TEST(Room, ConnectionsThatBreakSinglyCloseNoBackend) {
  Story story(4);
  for (std::uint64_t key = 1; key <= 40; ++key) story.open(key);
  for (int round = 0; round < 8; ++round) {
    story.host.pass(3 * kS);
    for (const auto& ep : story.eps) story.fail(*ep->held.back(), Result::reset, true);
  }
  for (std::uint64_t key = 100; key <= 110; ++key) story.arrive(key);
  EXPECT_TRUE(story.host.declined.empty());
  EXPECT_TRUE(story.host.moved.empty());
}

// What crosses sockets in one moment is heard of over some milliseconds; and a new process is not the old
// one.
TEST(Room, ABackendThatDiedAndRestartedTakesTunnelsAgain) {
  Story story(1);
  for (std::uint64_t key = 1; key <= 10; ++key) story.open(key);
  for (Backend& ep = *story.eps[0]; !ep.held.empty(); story.host.pass(kMs))
    story.fail(*ep.held.back(), Result::reset, true);
  for (std::uint64_t key = 11; key <= 20; ++key) story.open(key);
  EXPECT_EQ(story.eps[0]->held.size(), 10u);
  story.host.pass(5 * kS);
  for (int i = 0; i < 6; ++i) story.fail(*story.eps[0]->held.back(), Result::reset, true);
  story.relay.list_entry(story.eps[0], Standing::ready, 1, story.host.clock - 30 * kS);
  for (std::uint64_t key = 21; key <= 30; ++key) story.open(key);
  EXPECT_EQ(story.eps[0]->held.size(), 14u);
}

// A report of calm gives back what was held, and from there room only grows; also where warm-up is short.
TEST(Room, CalmReportsNeverCloseABackend) {
  SiteTerms terms = plain_terms();
  terms.warm_up = kS;
  Story story(1, terms);
  Backend& ep = *story.eps[0];
  for (std::uint64_t key = 1; key <= 10; ++key) story.open(key);
  story.relay.delay_told(*ep.held[0], 500 * kMs);
  const std::size_t moved = story.host.moved.size();
  EXPECT_GT(moved, 0u);
  for (Tunnel* tun : std::exchange(story.host.moved, {})) story.fail(*tun, Result::cancelled, true);
  const std::uint64_t group = ep.held[0]->client_key;
  story.host.pass(3300 * kMs);
  for (int i = 0; i < 10; ++i) story.open(group);
  const std::size_t declined = story.host.declined.size();
  EXPECT_GT(declined, 0u);  // three warm-ups are no time for strain to pass
  for (int i = 0; i < 12; ++i) {
    story.host.pass(kS);
    story.relay.probe_ended(ep, {Result::opened, kMs}, {0.2});
    if (i > 3) story.open(group);
  }
  EXPECT_EQ(story.host.declined.size(), declined);
}

// A rush of setups makes messages late for a moment; the report after it tells that the backend bears more.
TEST(Room, AReportAfterARushOpensWhatTheRushHadClosed) {
  const auto declined = [](Micros settled) {
    Story story(1);
    for (std::uint64_t key = 1; key <= 20; ++key) story.open(key);
    story.host.pass(settled);
    story.relay.delay_told(*story.tuns[0], 200 * kMs);
    for (Tunnel* tun : std::exchange(story.host.moved, {})) story.fail(*tun, Result::cancelled, true);
    story.host.pass(100 * kMs);
    story.relay.probe_ended(*story.eps[0], {Result::opened, kMs}, {0.6});
    const std::uint64_t group = story.eps[0]->held[0]->client_key;
    for (int i = 0; i < 4; ++i) story.open(group);
    return story.host.declined.size();
  };
  EXPECT_EQ(declined(3 * kS), 0u);
  EXPECT_GE(declined(0), 3u);  // that report may be of a time before the rush
}

TEST(Room, WhatIsStrainedIsLookedAtAndTheDeadDoNotEatThePurse) {
  Story story(4, probing_terms(2));
  for (std::uint64_t key = 1; key <= 20; ++key) story.open(key);
  story.probe(*story.eps[0], Result::connect_failed, 200);
  ASSERT_TRUE(story.eps[0]->aside);
  story.relay.delay_told(*story.eps[1]->held[0], kS);
  const auto looks = [&](std::size_t i) {
    return std::count(story.host.probed.begin(), story.host.probed.end(), story.eps[i].get());
  };
  for (int i = 0; i < 50; ++i) {  // every look fails at once
    const std::size_t seen = story.host.probed.size();
    story.host.pass(20 * kMs);
    for (std::size_t at = seen; at < story.host.probed.size(); ++at)
      story.relay.probe_ended(*story.host.probed[at], {Result::connect_failed, kMs}, {});
  }
  EXPECT_GE(looks(1), 2);
  EXPECT_LE(looks(0), 2);
}

TEST(Room, WhenMostAreStrainedTheOthersTakeNoRush) {
  Story story(4);
  for (std::uint64_t key = 1; key <= 24; ++key) story.open(key);
  for (std::size_t i = 0; i < 3; ++i) story.relay.delay_told(*story.eps[i]->held[0], kS);
  const std::size_t before = story.eps[3]->held.size();
  for (std::uint64_t key = 100; key <= 120; ++key) story.arrive(key);
  EXPECT_LE(story.eps[3]->held.size(), before);
}

// Nearly full it serves all in time: nothing more lands there, and nothing is moved for it.
TEST(Room, ANearlyFullBackendKeepsWhatItHolds) {
  Story story(1);
  for (std::uint64_t key = 1; key <= 20; ++key) story.open(key);
  story.relay.probe_ended(*story.eps[0], {Result::opened, kMs}, {0.85});
  EXPECT_TRUE(story.host.moved.empty());
  EXPECT_EQ(story.answers(story.arrive(99)), 1u);
  story.host.pass(kS);
  story.relay.probe_ended(*story.eps[0], {Result::opened, kMs}, {1.1});
  EXPECT_FALSE(story.host.moved.empty());
}

TEST(Landing, HomeTakesTwiceTheMeanOnlyWhileItTellsCalm) {
  const auto at_home = [](double told) {
    SiteTerms terms = plain_terms();
    terms.cross_price = 0.02;
    Story story(0, terms);
    for (unsigned i = 0; i < 6; ++i) story.add(0, i % 2);
    for (const auto& ep : story.eps) story.relay.probe_ended(*ep, {Result::opened, kMs}, {told});
    std::size_t held = 0;
    for (std::uint64_t key = 1; key <= 120; ++key) {
      story.open(key * 7919);
      story.host.pass(100 * kMs);
    }
    for (const auto& ep : story.eps) held += ep->zone == 0 ? ep->held.size() : 0;
    return held;
  };
  EXPECT_GT(at_home(0.2), 85u);
  EXPECT_LT(at_home(0.6), 80u);
}

// Nor do the few that are not strained take it all while the strained ones run nearly empty.
TEST(Room, WhatIsShedIsSharedUnderTheCap) {
  Story story(4);
  for (std::uint64_t key = 1; key <= 40; ++key) story.open(key);
  for (std::size_t i = 0; i < 2; ++i) story.relay.delay_told(*story.eps[i]->held[0], kS);
  for (Tunnel* tun : std::exchange(story.host.moved, {})) story.fail(*tun, Result::cancelled, true);
  story.host.pass(2 * kS);
  std::size_t held = 0, most = 0;
  for (std::uint64_t key = 100; key < 200; ++key) story.open(key);
  for (const auto& ep : story.eps) held += ep->held.size(), most = std::max(most, ep->held.size());
  EXPECT_LE(most, held / 2 + 1);  // twice the mean of four
  EXPECT_GT(story.eps[0]->held.size() + story.eps[1]->held.size(), held / 4);
}

// A group is paid for by every backend that holds any of it: in strain its members stay together.
TEST(Room, InStrainAGroupDoesNotSpread) {
  Story story(2);
  for (std::uint64_t key = 1; key <= 40; ++key) story.open(key);
  for (auto& ep : story.eps) story.relay.delay_told(*ep->held[0], 300 * kMs);
  for (Tunnel* tun : std::vector<Tunnel*>(story.host.moved)) story.fail(*tun, Result::cancelled, true);
  Backend& ep = *story.eps[0];
  for (int i = 0; i < 3; ++i) story.fail(*ep.held.back(), Result::cancelled, true);
  const std::uint64_t known = ep.held[0]->hash_key;
  EXPECT_EQ(story.answers(story.arrive(9999)), 1u);  // a stranger to both
  EXPECT_EQ(story.arrive(known).ep.get(), &ep);
}

TEST(Room, TenantOverItsShareIsDeclinedInStrainOnly) {
  SiteTerms terms = plain_terms();
  terms.tenant_shares = {3, 100};
  Story story(4, terms);
  const auto arrive = [&](std::size_t tenant, std::uint64_t key) -> Tunnel& {
    Tunnel& tun = story.fresh(key);
    tun.tenant = tenant;
    story.relay.take(story.tuns.back());
    if (tun.ep) story.relay.established(tun, 20 * kMs);
    return tun;
  };
  for (std::uint64_t key = 1; key <= 12; ++key) EXPECT_EQ(story.answers(arrive(key % 2, key)), 0u);
  story.relay.delay_told(*story.eps[0]->held[0], 300 * kMs);
  EXPECT_EQ(story.answers(arrive(0, 50)), 1u);
  EXPECT_EQ(story.answers(arrive(1, story.eps[1]->held[0]->client_key)), 0u);
}

TEST(Room, SetupsThatAllTimeOutGetMoreTime) {
  Story story(6);
  for (std::uint64_t key = 1; key <= 10; ++key) {
    Tunnel& tun = story.arrive(key);
    story.relay.setup_ended(tun, {Result::timed_out, story.host.sent.back().limit}, false, {});
  }
  EXPECT_GT(story.host.sent.back().limit, 400 * kMs);
}

// ---- Many relays: each sees little ----------------------------------------------------------------------

TEST(Scale, OneTunnelLostDoesNotCloseItsBackendForGood) {
  Story story(40);
  Tunnel& tun = story.open(5);
  Backend& home = *tun.ep;
  story.fail(tun, Result::reset, true);
  story.host.pass(15 * kS);  // and calm gives the room back
  EXPECT_EQ(story.arrive(5).ep.get(), &home);
}

// Thirty relays with a tunnel each on one strained backend: not all of them leave it, and who shares a group
// goes or stays together.
TEST(Scale, RelaysThatHoldOneTunnelEachShedTheSameGroups) {
  std::map<std::uint64_t, std::set<bool>> went;
  for (std::uint64_t relay = 0; relay < 30; ++relay) {
    Story story(1);
    story.open(100 + relay % 10);
    story.relay.delay_told(*story.tuns[0], 300 * kMs);
    went[relay % 10].insert(!story.host.moved.empty());
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
    Story story(40);
    for (std::uint64_t key = 1; key <= 3; ++key) story.open(key);
    for (int i = 0; strained && i < 2; ++i) {
      for (std::size_t tun = 0; tun < 3; ++tun) story.relay.delay_told(*story.tuns[tun], kS);
      story.host.pass(kS);
    }
    std::size_t count = 0;
    for (std::uint64_t key = 100; key < 140; ++key) count += story.answers(story.arrive(key));
    return count;
  };
  EXPECT_EQ(declined(false), 0u);
  EXPECT_GE(declined(true), 10u);
  EXPECT_LE(declined(true), 38u);  // but it does not shut them out
}

// A release in the same strain: what has just started is empty, and taken for short it would stay so.
TEST(Scale, FreshBackendsAreNotTakenToBeShortOfRoom) {
  Story story(3);
  for (std::uint64_t key = 1; key <= 12; ++key) story.open(key);
  for (int i = 0; i < 30; ++i) story.add(story.host.clock - 15 * kS);
  for (int i = 0; i < 2; ++i) {
    for (const auto& tun : story.tuns) story.relay.delay_told(*tun, kS);
    story.host.pass(kS);
  }
  std::size_t declined = 0;
  for (std::uint64_t key = 100; key < 140; ++key) declined += story.answers(story.arrive(key));
  EXPECT_EQ(declined, 0u);
}

// A relay that has just started knows one backend, from a probe that found it strained.
TEST(Strain, OneReportDoesNotCloseAFreshRelay) {
  Story story(9);
  story.relay.probe_ended(*story.eps[4], {Result::opened, 10 * kMs}, {0.96});
  for (std::uint64_t key = 1; key <= 30; ++key) story.open(key);
  EXPECT_LE(story.host.declined.size(), 1u);
}

// Calm reports are knowledge too: two strained of six heard from are no general strain.
TEST(Strain, CalmReportsSpeakAgainstGeneralStrain) {
  Story story(6);
  for (std::size_t i = 0; i < 6; ++i) {
    story.relay.probe_ended(*story.eps[i], {Result::opened, 10 * kMs}, {i == 0 || i == 5 ? 0.96 : 0.3});
    story.host.pass(500 * kMs);
  }
  for (std::uint64_t key = 1; key <= 30; ++key) story.open(key);
  EXPECT_LE(story.host.declined.size(), 1u);
}

TEST(Scale, ManyBackendsInDoubtArePaidForFromThePurse) {
  Story story(60, probing_terms(200));
  for (std::uint64_t key = 1; key <= 20; ++key) {
    Tunnel& tun = story.arrive(key);
    while (tun.ep) story.fail(tun, Result::connect_failed);
  }
  story.host.pass(20 * kS);
  EXPECT_GE(story.host.probed.size(), 4u);
  EXPECT_LE(story.host.probed.size(), 30u);  // a client pays for one
}

// In a break no new client pays; what was saved up lasts until the backends are calm again.
TEST(Scale, WhatWasSavedUpLastsThroughABreak) {
  Story story(4, probing_terms(200));
  for (std::uint64_t key = 1; key <= 30; ++key) story.open(key);
  for (int i = 0; i < 30; ++i) {
    for (const auto& ep : story.eps) {
      if (!ep->held.empty()) story.relay.delay_told(*ep->held[0], 200 * kMs);
      if (ep->probe_out) story.relay.probe_ended(*ep, {Result::opened, kMs}, {});
    }
    story.host.pass(100 * kMs);
  }
  EXPECT_GE(story.host.probed.size(), 16u);
}

// A zone with one backend of ten is not drowned by its own clients.
TEST(Scale, HomeTakesNoMoreThanItsPartOfTheFleetBears) {
  SiteTerms terms = plain_terms();
  terms.cross_price = 0.02;
  Story story(0, terms);
  for (unsigned i = 0; i < 20; ++i) story.add(0, i < 2 ? 0 : 1);
  for (std::uint64_t key = 1; key <= 100; ++key) story.fail(story.open(key), Result::opened, true);
  const std::size_t home = story.sent_to(*story.eps[0]) + story.sent_to(*story.eps[1]);
  EXPECT_GE(home, 5u);
  EXPECT_LE(home, 35u);
}

// Its few connections are taken now and then: that is no proof that it is ill.
TEST(Scale, ABackendThatRefusesSomeConnectsIsNotSetAside) {
  Story story(6);
  Backend& crowded = *story.eps[0];
  unsigned came = 0;
  for (std::uint64_t key = 1; key <= 400; ++key) {
    Tunnel& tun = story.arrive(key * 7919);
    while (tun.ep.get() == &crowded && ++came % 3 == 0) story.fail(tun, Result::connect_failed);
    if (tun.ep) story.relay.established(tun, 20 * kMs);
    if (tun.ep) story.fail(tun, Result::opened, true);
    story.host.pass(50 * kMs);
    ASSERT_FALSE(crowded.aside);
  }
  EXPECT_GE(came, 40u);
  EXPECT_TRUE(story.host.declined.empty());
}

// A release takes all of the own zone but one: that one must not be given what five bore, nor anybody
// declined.
TEST(Scale, ARelayWithOneBackendLeftInItsZoneSendsMostAbroad) {
  SiteTerms terms = plain_terms();
  terms.cross_price = 0.02;
  Story story(0, terms);
  for (unsigned i = 0; i < 10; ++i) story.add(0, i % 2);
  for (std::uint64_t key = 1; key <= 40; ++key) story.fail(story.open(key), Result::opened, true);
  for (std::size_t i = 2; i < 10; i += 2) story.list(i, Standing::draining);
  const std::size_t before = story.sent_to(*story.eps[0]);
  for (std::uint64_t key = 100; key < 160; ++key) story.open(key);
  EXPECT_TRUE(story.host.declined.empty());
  EXPECT_LE(story.sent_to(*story.eps[0]) - before, 24u);
  for (std::size_t i = 1; i < 10; i += 2) EXPECT_GE(story.eps[i]->held.size(), 3u);
}

// The clients of a relay that went away come all at once: they do not belong at home, and would drown it.
TEST(Scale, InAStormHomeTakesNoMoreThanTheRest) {
  SiteTerms terms = plain_terms();
  terms.cross_price = 0.02;
  Story story(0, terms);
  for (unsigned i = 0; i < 6; ++i) story.add(0, i % 3);
  for (std::uint64_t key = 1; key <= 90; ++key) {
    Tunnel& tun = story.fresh(key);
    tun.returning = true;
    story.relay.take(story.tuns.back());
    if (tun.ep) story.relay.established(tun, 20 * kMs);
    story.host.pass(10 * kMs);
  }
  EXPECT_LE(story.eps[0]->held.size() + story.eps[3]->held.size(), 42u);
  EXPECT_GE(story.eps[0]->held.size() + story.eps[3]->held.size(), 18u);
}

// An operator's word stands above the list's, until it is taken back once.
TEST(Bans, ABannedBackendGetsNothingWhateverTheListSays) {
  Story story(2);
  Backend& out = *story.eps[0];
  while (story.sent_to(out) == 0) story.open(story.tuns.size() + 1);
  story.relay.ban(out, true);
  EXPECT_FALSE(story.host.moved.empty());
  const std::size_t before = story.sent_to(out);
  story.list(0, Standing::ready);
  story.list(0, Standing::gone);
  story.list(0, Standing::ready);
  for (std::uint64_t key = 100; key < 130; ++key) story.open(key);
  EXPECT_EQ(story.sent_to(out), before);
  story.relay.ban(out, true);
  story.relay.ban(out, false);
  EXPECT_EQ(out.standing, Standing::ready);
  story.relay.ban(out, true);
  story.list(0, Standing::draining);
  story.relay.ban(out, false);
  EXPECT_EQ(out.standing, Standing::draining);  // the list's own word is not undone with it
}

// The list is late: what is called back was most likely restarted meanwhile, and full load would push it
// over.
TEST(Bans, WhatIsCalledBackIsColdUntilTheListTellsItsStart) {
  Story story(2);
  Backend& out = *story.eps[0];
  story.relay.ban(out, true);
  story.host.pass(3 * kS);
  story.relay.ban(out, false);
  EXPECT_EQ(out.since, story.host.clock);
  story.relay.list_entry(story.eps[0], Standing::ready, 1, story.host.clock - kS);
  EXPECT_EQ(out.since, story.host.clock - kS);
  story.relay.ban(out, true);
  story.host.pass(3 * kS);
  story.relay.list_entry(story.eps[0], Standing::ready, 1, story.host.clock - kS);  // told while it is out
  story.relay.ban(out, false);
  EXPECT_EQ(out.since, story.host.clock - kS);
}

// Two processes with one relay's turns would send a cold backend twice what it may get.
TEST(Bans, ARelayWithASuccessorSendsNothingToAColdBackend) {
  Story story(1);
  Backend& cold = story.add(story.host.clock);
  story.relay.succeeded();
  for (int i = 0; i < 40; ++i) {
    story.open(static_cast<std::uint64_t>(i) + 1);
    story.host.pass(kS / 4);
  }
  EXPECT_EQ(story.sent_to(cold), 0u);
  EXPECT_EQ(story.sent_to(*story.eps[0]), 40u);
}

// Replaced again and again, a relay that forgets is always young: what it alone knows would be lost.
TEST(Bans, ASuccessorRemembersWhatWasLearned) {
  Story story(3), next(3);
  for (int i = 0; i < 200 && !story.eps[0]->aside; ++i) {
    Tunnel& tun = story.arrive(static_cast<std::uint64_t>(i) + 1);
    if (tun.ep.get() == story.eps[0].get())
      story.fail(tun, Result::error);
    else if (tun.ep)
      story.relay.established(tun, 20 * kMs);
  }
  ASSERT_TRUE(story.eps[0]->aside);
  story.relay.ban(*story.eps[1], true);
  story.host.pass(kS);
  story.relay.ban(*story.eps[1], false);  // cold from now on, as far as this relay can know
  next.host.clock = story.host.clock;
  next.relay.remember(story.relay.succeeded());
  EXPECT_TRUE(next.eps[0]->aside);
  EXPECT_EQ(next.eps[1]->since, story.eps[1]->since);
  Story later(3);
  later.relay.list_entry(later.eps[0], Standing::ready, 1, later.host.clock - kS);
  later.relay.remember(story.relay.succeeded());
  EXPECT_FALSE(later.eps[0]->aside);  // the list tells of a start that the other did not know of
}

// Discovery is one service for all: asked by dozens within a second, it serves no call before that has waited
// in vain, and nobody ever hears the list again. Few relays ask again at once. Four seconds are left for the
// wait, so many relays use all of them, evenly.
TEST(List, ManyRelaysThatLostItTogetherDoNotAskTogether) {
  const auto asked_in_a_second = [](unsigned relays) {
    std::map<Micros, int> seconds;
    for (unsigned i = 0; i < relays; ++i) {
      SiteTerms terms = plain_terms();
      terms.list_on_request = true;
      terms.relays = relays;
      FakeHost host;
      Relay relay(host, terms, 100 + i);
      relay.list_failed();
      host.pass(terms.ask_within);
      EXPECT_EQ(host.followed.size(), 2u);  // at the start, and in time after the failure
      if (host.followed.size() == 2) ++seconds[(host.followed[1] - host.followed[0]) / kS];
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
