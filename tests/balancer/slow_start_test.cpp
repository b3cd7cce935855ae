// The load sent to a backend while it warms up, by one relay and by all relays together.
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <vector>

#include "support/balancer_fixture.hpp"

namespace cherryrail::testing {
namespace {

TEST(SlowStart, IncreasesTheShareOfAWarmingUpBackendOverTime) {
  BalancerFixture fixture(3);
  Backend& warming_up = fixture.add_backend(fixture.actions.current_time - 2 * kSecond);
  const auto attempts_for_the_same_keys = [&] {
    const std::size_t before = fixture.attempts_to(warming_up);
    for (std::uint64_t i = 0; i < 200; ++i) {
      Session& session = fixture.establish_session(1000 + i * 7919);
      fixture.actions.advance(10 * kMillisecond);
      if (session.backend) fixture.end_attempt(session, AttemptResult::succeeded, true);
    }
    return fixture.attempts_to(warming_up) - before;
  };

  const std::size_t early = attempts_for_the_same_keys();
  fixture.actions.advance(20 * kSecond);
  const std::size_t late = attempts_for_the_same_keys();

  EXPECT_GT(early, 0u);
  EXPECT_GT(late, 2 * early);
}

TEST(SlowStart, TreatsARestartedBackendAsWarmingUp) {
  BalancerFixture fixture(1);
  fixture.establish_session(1);

  fixture.balancer.update_endpoint(fixture.backends[0], EndpointState::ready, 1,
                                   fixture.actions.current_time);

  fixture.establish_session(2);
  EXPECT_EQ(fixture.final_answers(fixture.request_session(3)), 1u);
}

// The predecessor process may already have used the current admission slot.
TEST(SlowStart, AStartingRelaySkipsTheCurrentAdmissionSlot) {
  BalancerFixture fixture(0);
  fixture.add_backend(fixture.actions.current_time - kSecond);

  EXPECT_EQ(fixture.final_answers(fixture.request_session(1)), 1u);

  fixture.actions.advance(kSecond + kMillisecond);
  EXPECT_EQ(fixture.final_answers(fixture.request_session(2)), 0u);
}

// All relays together must keep the limit in every window, without communicating.
TEST(SlowStart, KeepsTheAdmissionLimitOverAllRelaysTogether) {
  BalancerConfig config = default_config();
  config.relay_count = 4;
  std::vector<std::unique_ptr<BalancerFixture>> relays;
  for (config.relay_index = 0; config.relay_index < config.relay_count; ++config.relay_index) {
    relays.push_back(std::make_unique<BalancerFixture>(0, config));
    BalancerFixture& relay = *relays.back();
    relay.add_backend(relay.actions.current_time);
    for (std::size_t i = 1; i <= 3; ++i) {
      relay.add_backend(0);
      relay.set_endpoint_state(i, EndpointState::draining);
    }
  }

  std::vector<Micros> attempt_times;
  std::uint64_t key = 1;
  for (int step = 0; step < 100; ++step) {  // ten seconds of reconnecting clients
    for (auto& relay : relays) {
      const std::size_t before = relay->actions.attempts.size();
      Session& session = relay->request_reconnect(++key);
      if (relay->actions.attempts.size() > before) {
        attempt_times.push_back(relay->actions.current_time);
        relay->balancer.on_established(session, 20 * kMillisecond);
      }
      relay->actions.advance(100 * kMillisecond);
    }
  }

  ASSERT_GE(attempt_times.size(), 4u);
  for (const Micros from : attempt_times) {
    const auto in_window = std::count_if(attempt_times.begin(), attempt_times.end(),
                                         [&](Micros at) { return at >= from && at < from + 2 * kSecond; });
    EXPECT_LE(in_window, 2);
  }
}

// A release replaces half of the fleet at once, while there are few new clients and each of a hundred relays
// holds few sessions. With admission slots alone, the new backends would stay empty while the old ones are
// overloaded. All relays together must send them the share that their slow-start factor allows, and not much
// more.
TEST(SlowStart, SendsReplacedBackendsTheirWeightedShareOfReconnectsFromAHundredRelays) {
  BalancerConfig config = default_config();
  config.relay_count = 100;
  std::size_t to_warming_up = 0;
  std::size_t reconnects = 0;
  std::size_t rejected = 0;
  for (config.relay_index = 0; config.relay_index < config.relay_count; ++config.relay_index) {
    BalancerFixture fixture(10, config);
    fixture.establish_sessions(100 * (config.relay_index + 10), 12);
    fixture.actions.advance(60 * kSecond);
    std::vector<Backend*> warming_up;
    for (std::size_t i = 0; i < 5; ++i) fixture.set_endpoint_state(i, EndpointState::gone);
    for (std::size_t i = 0; i < 5; ++i)
      warming_up.push_back(&fixture.add_backend(fixture.actions.current_time - 6 * kSecond));

    for (std::uint64_t client = 0; client < 3; ++client) {
      Session& session = fixture.request_reconnect(1 + 3 * config.relay_index + client);
      ++reconnects;
      rejected += fixture.final_answers(session);
      fixture.balancer.on_established(session, 20 * kMillisecond);
    }
    for (const Backend* backend : warming_up) to_warming_up += fixture.attempts_to(*backend);
  }

  const double part = static_cast<double>(to_warming_up) / static_cast<double>(reconnects);
  const double due = 0.44 / (1 + 0.44);  // after 6 s of a slow start of 20 s with an initial factor of 0.2
  EXPECT_GT(part, 0.8 * due);
  EXPECT_LT(part, 1.2 * due);
  EXPECT_EQ(rejected, 0u);
}

// The group of a drained backend reconnects at two hundred relays within one second, and its preferred
// backend is warming up.
TEST(SlowStart, AdmitsFewMembersOfAGroupThatReconnectsAtManyRelays) {
  const auto attempts = [](bool is_reconnecting) {
    BalancerConfig config = default_config();
    config.relay_count = 200;
    std::size_t count = 0;
    for (config.relay_index = 0; config.relay_index < config.relay_count; ++config.relay_index) {
      BalancerFixture fixture(9, config);
      fixture.establish_session(1000 + config.relay_index);
      fixture.actions.advance(60 * kSecond);
      Backend& warming_up = fixture.add_backend(fixture.actions.current_time - 4 * kSecond);
      for (const auto& backend : fixture.backends) {
        if (backend.get() != &warming_up)
          fixture.balancer.update_endpoint(backend, EndpointState::draining, 1, 0);
      }
      fixture.make_session(7).is_reconnecting = is_reconnecting;
      fixture.balancer.admit(fixture.sessions.back());
      count += fixture.attempts_to(warming_up);
    }
    return count;
  };

  EXPECT_GE(attempts(true), 1u);
  EXPECT_LE(attempts(true), 25u);
  EXPECT_GE(attempts(false), attempts(true));  // new clients arrive one at a time
}

// The same while the other backends stay in service. Each relay sees one client of the group, so none knows
// how large the group is.
TEST(SlowStart, AdmitsFewMembersOfALargeGroupWhosePreferredBackendIsWarmingUp) {
  BalancerConfig config = default_config();
  config.relay_count = 100;
  const auto attempts = [&config](std::uint64_t group, bool is_reconnecting) {
    BalancerFixture fixture(9, config);
    fixture.establish_sessions(100 * (config.relay_index + 10), 2);
    fixture.actions.advance(60 * kSecond);
    const Backend& warming_up = fixture.add_backend(fixture.actions.current_time);
    Session& session = fixture.make_session(1000 * (config.relay_index + 1));
    session.group_key = group;
    session.is_reconnecting = is_reconnecting;
    fixture.balancer.admit(fixture.sessions.back());
    return fixture.attempts_to(warming_up);
  };
  std::uint64_t group = 1;
  while (attempts(group, false) == 0) ++group;  // finds a group whose new clients are admitted

  std::size_t reconnecting = 0;
  std::size_t new_clients = 0;
  for (config.relay_index = 0; config.relay_index < config.relay_count; ++config.relay_index) {
    reconnecting += attempts(group, true);
    new_clients += attempts(group, false);
  }

  EXPECT_GT(new_clients, 2 * reconnecting);
  EXPECT_GE(reconnecting, 1u);
  // 0.67 (planned share) of the overload factor times the slow-start factor of twenty clients per backend.
  EXPECT_LE(reconnecting, 8u);
}

}  // namespace
}  // namespace cherryrail::testing
