// The load that all relays together send to warming-up backends. Runs many balancers, each with its own
// fixture: each may be right by itself while all together overload a backend.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>
#include <memory>
#include <random>
#include <tuple>
#include <vector>

#include "support/balancer_fixture.hpp"

namespace cherryrail::testing {
namespace {

// Expected count below which the limit allows more for random variation.
constexpr double kSmallCount = 30;

struct FleetConfig {
  unsigned relay_count = 100;
  unsigned configured_relay_count = 0;  // in the relays' configuration; 0: the actual count
  std::size_t session_count = 1500;
  std::size_t warm_backends = 40;
  std::size_t new_backends = 40;
  std::size_t largest_group = 37;
  Micros slow_start_duration = 9 * kSecond;
  Micros window = 3 * kSecond;
  double initial_factor = 0.33;  // the slow start factor of a backend that starts
  bool is_uneven = false;        // one relay of ten gets half of the traffic
  unsigned seed = 1;
};

// A fleet in which a warm backend is full at 1.6 times the mean number of sessions. Half of the backends are
// replaced, and all of their sessions reconnect at once, at random relays.
class FleetScenario {
 public:
  explicit FleetScenario(const FleetConfig& config) : config_(config), random_(config.seed) {
    make_relays();
    make_groups();
  }

  // The warm backends hold all sessions; then the new ones start, and half of the sessions reconnect.
  void run() {
    for (std::size_t i = 0; i < config_.session_count; ++i) request_session(i, false);
    for (auto& relay : relays_) relay->actions.advance(60 * kSecond);

    const Micros now = relays_[0]->actions.current_time;
    for (auto& relay : relays_) {
      for (std::size_t i = 0; i < config_.new_backends; ++i) relay->add_backend(now);
      for (std::size_t i = 0; i < config_.warm_backends / 2; ++i)
        relay->set_endpoint_state(i, EndpointState::draining);
    }
    reconnect();
  }

  // The share of the reconnecting sessions that reached a new backend.
  double share_to_new_backends() const {
    return static_cast<double>(sent_to_new_backends_) / static_cast<double>(reconnecting_);
  }

  // The highest number of sessions that a new backend was sent in a window, as a share of the limit: the
  // expected count N plus, for random variation, two square roots of N plus two (three and three below
  // kSmallCount).
  double highest_share_of_limit() const {
    double highest = 0;
    for (const auto& [backend, times] : attempt_times_) {
      std::size_t first = 0;
      for (std::size_t last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] > config_.window) ++first;
        highest = std::max(highest, static_cast<double>(last - first + 1) / limit_in_window(times[first]));
      }
    }
    return highest;
  }

 private:
  void make_relays() {
    BalancerConfig config = default_config();
    config.relay_count =
        config_.configured_relay_count > 0 ? config_.configured_relay_count : config_.relay_count;
    config.slow_start_duration = config_.slow_start_duration;
    config.overload_window = config_.window;
    config.slow_start_initial_factor = config_.initial_factor;
    for (unsigned i = 0; i < config_.relay_count; ++i) {
      config.relay_index = i % config.relay_count;
      relays_.push_back(std::make_unique<BalancerFixture>(config_.warm_backends, config));
    }
  }

  // The groups have sizes of 1, 1/2, 1/3 ... of the largest.
  void make_groups() {
    for (std::size_t group = 1; groups_.size() < config_.session_count; ++group) {
      const std::size_t size = std::max<std::size_t>(1, config_.largest_group / group);
      groups_.insert(groups_.end(), size, group);
    }
    groups_.resize(config_.session_count);
    std::shuffle(groups_.begin(), groups_.end(), random_);
  }

  // Spread over about one second; rejected clients retry.
  void reconnect() {
    std::vector<std::size_t> waiting;
    for (std::size_t i = 0; i < config_.session_count; ++i) {
      if (random_() % 2 != 0) waiting.push_back(i);
    }
    reconnecting_ = waiting.size();
    for (int step = 0; step < 40; ++step) {
      std::vector<std::size_t> still_waiting;
      for (const std::size_t index : waiting) {
        const bool is_delayed = step < 10 && random_() % 4 != 0;
        if (is_delayed || !request_session(index, true)) still_waiting.push_back(index);
      }
      waiting = still_waiting;
      for (auto& relay : relays_) relay->actions.advance(100 * kMillisecond);
    }
  }

  bool request_session(std::size_t index, bool is_reconnecting) {
    std::size_t relay_index = random_() % relays_.size();
    if (config_.is_uneven && random_() % 2 != 0) relay_index = relay_index / 10;
    BalancerFixture& relay = *relays_[relay_index];
    Session& session = relay.make_session(1'000'000 + 7919 * index);
    session.group_key = 77 + 104729 * groups_[index];
    session.is_reconnecting = is_reconnecting;
    relay.balancer.admit(relay.sessions.back());
    if (!session.backend) return false;
    if (is_reconnecting && session.backend->slow_start.started_at() > 0) {
      ++sent_to_new_backends_;
      attempt_times_[session.backend->name].push_back(relay.actions.current_time);
      new_backends_started_at_ = session.backend->slow_start.started_at();
    }
    relay.balancer.on_established(session, 20 * kMillisecond);
    return true;
  }

  double limit_in_window(Micros from) const {
    const double mean_sessions =
        static_cast<double>(config_.session_count) / static_cast<double>(config_.warm_backends);
    const double full = 1.6 * mean_sessions;
    const double age = static_cast<double>(from - new_backends_started_at_) /
                       static_cast<double>(config_.slow_start_duration);
    const double factor = std::min(1.0, config_.initial_factor + (1 - config_.initial_factor) * age);
    const double rate = full * factor / static_cast<double>(config_.slow_start_duration);
    const double expected = 3 * rate * static_cast<double>(config_.window);
    const double roots = expected < kSmallCount ? 3 : 2;
    return expected + roots * std::sqrt(expected) + roots;
  }

  FleetConfig config_;
  std::mt19937 random_;
  std::vector<std::unique_ptr<BalancerFixture>> relays_;
  std::vector<std::size_t> groups_;                             // of each session
  std::map<std::uint64_t, std::vector<Micros>> attempt_times_;  // at each new backend, by name
  std::size_t sent_to_new_backends_ = 0;
  std::size_t reconnecting_ = 0;
  Micros new_backends_started_at_ = 0;
};

// If each relay held back from the new backends because of what others might send, the old ones would be
// overloaded, and again by retries of the sessions they reject. The new backends' weighted share is above
// 1/3.
TEST(FleetSlowStart, NewBackendsGetTheirShareOfReconnectsAfterAReleaseWithAnyNumberOfRelays) {
  for (unsigned seed = 1; seed <= 3; ++seed) {
    for (const unsigned relay_count : {30u, 100u, 350u}) {
      FleetScenario fleet({.relay_count = relay_count, .seed = seed});
      fleet.run();
      EXPECT_GT(fleet.share_to_new_backends(), 0.25) << relay_count << " relays, seed " << seed;
    }
  }
}

class FleetSlowStartLimit : public ::testing::TestWithParam<std::tuple<unsigned, unsigned>> {};

TEST_P(FleetSlowStartLimit, NoNewBackendIsSentMoreThanTheLimitByAllRelaysTogether) {
  const auto [relay_count, seed] = GetParam();
  double highest = 0;
  const auto run_scenario = [&highest, seed = seed](FleetConfig config, const char* what) {
    config.seed = seed;
    FleetScenario fleet(config);
    fleet.run();
    highest = std::max(highest, fleet.highest_share_of_limit());
    EXPECT_LE(fleet.highest_share_of_limit(), 1) << what;
  };

  run_scenario({.relay_count = relay_count}, "even traffic");
  run_scenario({.relay_count = relay_count, .is_uneven = true}, "uneven traffic");
  run_scenario({.relay_count = relay_count, .configured_relay_count = std::max(1u, relay_count / 2)},
               "half of the relays configured");
  run_scenario({.relay_count = relay_count, .configured_relay_count = 2 * relay_count},
               "twice the relays configured");
  run_scenario({.relay_count = relay_count, .new_backends = 3}, "three new backends");
  run_scenario({.relay_count = relay_count, .new_backends = 1, .is_uneven = true},
               "one new backend, uneven traffic");
  run_scenario({.relay_count = relay_count, .slow_start_duration = 24 * kSecond, .initial_factor = 0.13},
               "slow to warm up");
  std::printf("highest share of the limit: %.0f%%\n", 100 * highest);
}

// The limit also holds for a small new site.
TEST_P(FleetSlowStartLimit, NoNewBackendOfASmallFleetIsSentMoreThanTheLimit) {
  const auto [relay_count, seed] = GetParam();
  const auto run_scenario = [seed = seed](FleetConfig config, const char* what) {
    config.seed = seed;
    FleetScenario fleet(config);
    fleet.run();
    EXPECT_LE(fleet.highest_share_of_limit(), 1) << what;
  };

  run_scenario({.relay_count = relay_count,
                .session_count = 200,
                .warm_backends = 8,
                .new_backends = 4,
                .largest_group = 6},
               "half as many new");
  run_scenario({.relay_count = relay_count,
                .session_count = 200,
                .warm_backends = 8,
                .new_backends = 1,
                .largest_group = 6},
               "one new");
  run_scenario({.relay_count = relay_count,
                .session_count = 60,
                .warm_backends = 4,
                .new_backends = 2,
                .largest_group = 3},
               "a few sessions");
  run_scenario({.relay_count = relay_count,
                .session_count = 1000,
                .warm_backends = 6,
                .new_backends = 1,
                .largest_group = 20,
                .initial_factor = 0.13},
               "cold");
}

INSTANTIATE_TEST_SUITE_P(RelaysAndSeeds, FleetSlowStartLimit,
                         ::testing::Combine(::testing::Values(1u, 2u, 4u, 10u, 20u, 30u, 100u, 350u),
                                            ::testing::Range(1u, 9u)));

}  // namespace
}  // namespace cherryrail::testing
