// Tests of when the endpoint list is requested again after a failure. A relay must know a change six seconds
// after discovery has it and can be reached; the backoff and the call, which takes two seconds, must fit in.
#include "balancer/endpoint_list_refresh.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include "support/balancer_fixture.hpp"

namespace cherryrail::testing {
namespace {

BalancerConfig polling_config(unsigned relay_count) {
  BalancerConfig config = default_config();
  config.must_request_endpoints = true;
  config.relay_count = relay_count;
  return config;
}

TEST(EndpointListRefresh, WatchesAtTheStartAndAfterEachFailure) {
  const BalancerConfig config = polling_config(1);
  BalancerFixture fixture(1, config);
  ASSERT_EQ(fixture.actions.endpoint_watches.size(), 1u);

  for (int i = 0; i < 12; ++i) {
    fixture.balancer.on_discovery_failed();
    fixture.actions.advance(config.endpoint_request_interval / 4 + kMillisecond);
  }

  EXPECT_EQ(fixture.actions.endpoint_watches.size(), 13u);
}

// All relays share one discovery service. With dozens of calls within a second it answers none before its
// timeout, and no relay ever gets the list again. So a few relays retry at once, while many spread their
// calls evenly over the four seconds available.
TEST(EndpointListRefresh, SpreadsTheCallsOfRelaysThatFailTogether) {
  const auto max_calls_in_a_second = [](unsigned relay_count) {
    const BalancerConfig config = polling_config(relay_count);
    std::map<Micros, int> calls_by_second;
    for (unsigned i = 0; i < relay_count; ++i) {
      RecordingActions actions;
      Balancer balancer(actions, config, 100 + i);
      balancer.on_discovery_failed();
      actions.advance(config.endpoint_request_interval);
      // One watch at the start and one within the interval after the failure.
      EXPECT_EQ(actions.endpoint_watches.size(), 2u);
      if (actions.endpoint_watches.size() != 2) continue;
      ++calls_by_second[(actions.endpoint_watches[1] - actions.endpoint_watches[0]) / kSecond];
    }
    int max_calls = 0;
    for (const auto& [second, calls] : calls_by_second) max_calls = std::max(max_calls, calls);
    return max_calls;
  };

  EXPECT_LE(max_calls_in_a_second(48), 28);
  EXPECT_LE(max_calls_in_a_second(200), 58);  // an even spread has 50
  EXPECT_EQ(max_calls_in_a_second(3), 3);
}

TEST(EndpointListRefresh, RetriesWithinTheMaxDelayForAnyNumberOfRelays) {
  for (const unsigned relay_count : {1u, 5u, 300u}) {
    for (unsigned i = 0; i < 40; ++i) {
      RecordingActions actions;
      Balancer balancer(actions, polling_config(relay_count), 100 + i);

      balancer.on_discovery_failed(2 * kSecond);
      actions.advance(2 * kSecond);

      EXPECT_EQ(actions.endpoint_watches.size(), 2u) << relay_count;
    }
  }
}

TEST(EndpointListRefresh, RetriesWithinFourSecondsAndSpreadAfterAnyNumberOfFailures) {
  for (const unsigned relay_count : {1u, 30u, 350u}) {
    for (const unsigned failures : {1u, 2u, 8u}) {
      std::map<Micros, unsigned> calls_by_tenth_of_a_second;
      for (unsigned i = 0; i < relay_count; ++i) {
        BalancerConfig config = polling_config(relay_count);
        config.endpoint_request_interval = 20 * kSecond;
        RecordingActions actions;
        Balancer balancer(actions, config, 100 + i);
        Micros failed_at = 0;
        for (unsigned failure = 1; failure <= failures; ++failure) {
          failed_at = actions.current_time;
          balancer.on_discovery_failed();
          actions.advance(4 * kSecond);
          ASSERT_EQ(actions.endpoint_watches.size(), failure + 1)
              << relay_count << " relays, failure " << failure;
        }
        ++calls_by_tenth_of_a_second[(actions.endpoint_watches.back() - failed_at) / (100 * kMillisecond)];
      }
      for (const auto& [tenth, calls] : calls_by_tenth_of_a_second)
        EXPECT_LE(calls, relay_count / 20 + 4) << relay_count;
    }
  }
}

// Discovery takes up to three seconds for an answer, and usually less than one.
TEST(EndpointListRefresh, RetriesInTimeForAnAnswerBeforeTheListIsSixSecondsOld) {
  for (Micros age = 0; age < 3 * kSecond; age += 100 * kMillisecond)
    EXPECT_LE(age + EndpointListRefresh::max_retry_delay(age, 1), 3 * kSecond + 200 * kMillisecond) << age;
  for (Micros age = 0; age < 4 * kSecond; age += 100 * kMillisecond)
    EXPECT_LE(age + EndpointListRefresh::max_retry_delay(age, 2), 5 * kSecond) << age;
  for (const Micros age : {5 * kSecond, 60 * kSecond, 1'700'000'000 * kSecond})
    EXPECT_EQ(EndpointListRefresh::max_retry_delay(age, 1), 3 * kSecond) << age;
}

// A discovery that refuses each request gets few of them, however old the list is.
TEST(EndpointListRefresh, HurriesForTheFirstTwoRetriesOnly) {
  for (Micros age = 0; age < 10 * kSecond; age += 100 * kMillisecond) {
    EXPECT_GE(EndpointListRefresh::max_retry_delay(age, 2), kSecond) << age;
    EXPECT_EQ(EndpointListRefresh::max_retry_delay(age, 3), 3 * kSecond) << age;
  }
}

// The relay is expected to know what its own discovery agent knows, however long the agent was unreachable,
// so the delay must not grow.
TEST(EndpointListRefresh, RetriesItsOwnAgentWithoutBackoff) {
  BalancerConfig config = polling_config(300);
  config.endpoint_retry_delay = 50 * kMillisecond;
  RecordingActions actions;
  Balancer balancer(actions, config, 7);

  for (std::size_t i = 0; i < 30; ++i) {
    balancer.on_discovery_failed();
    actions.advance(50 * kMillisecond);
    EXPECT_EQ(actions.endpoint_watches.size(), i + 2);
  }
}

}  // namespace
}  // namespace cherryrail::testing
