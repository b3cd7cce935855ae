// What all relays do together: many Balancer objects, each on a fake host of its own, and what the sum of
// them is. What one does alone can be right in every one of them and wrong in the sum.
#include <gtest/gtest.h>

#include <cmath>
#include <random>
#include <set>
#include <tuple>

#include "support/balancer_fixture.hpp"
#include "support/loopback_relay.hpp"

namespace cherryrail::testing {
namespace {

struct Order {
  unsigned relay_count = 100, told_relays = 0;  // really, and as the settings say; 0: the same
  std::size_t tunnels = 1500, old = 40, fresh = 40;
  std::size_t largest_group = 37;
  Micros slow_start_duration = 9 * kSecond, window = 3 * kSecond;
  double slow_start_initial_factor = 0.33;
  bool uneven = false;
  unsigned seed = 1;
};

// A fleet in which a warm backend is full at 1.6 times the tunnels it has on average, and half of the
// backends are replaced: all tunnels of those come again at once, somewhere.
class FleetScenario {
 public:
  explicit FleetScenario(const Order& order) : order_(order), chance_(order.seed) {
    BalancerConfig config = default_config();
    config.relay_count = order.told_relays > 0 ? order.told_relays : order.relay_count;
    config.slow_start_duration = order.slow_start_duration, config.overload_window = order.window,
    config.slow_start_initial_factor = order.slow_start_initial_factor;
    for (unsigned i = 0; i < order.relay_count; ++i) {
      config.relay_index = i % config.relay_count;
      stories_.push_back(std::make_unique<BalancerFixture>(order.old, config));
    }
    // Sizes as 1, 1/2, 1/3 ... of the largest.
    for (std::size_t group = 1, made = 0; made < order.tunnels; ++group)
      for (std::size_t i = 0; i < std::max<std::size_t>(1, order.largest_group / group); ++i, ++made)
        groups_.push_back(group);
    groups_.resize(order.tunnels);
    std::shuffle(groups_.begin(), groups_.end(), chance_);
  }

  // Warm ones hold everything; then as many cold ones start, and half of the tunnels come again.
  void run() {
    for (std::size_t i = 0; i < order_.tunnels; ++i) come(i, false);
    for (auto& fixture : stories_) fixture->actions.advance(60 * kSecond);
    const Micros now = stories_[0]->actions.current_time;
    for (auto& fixture : stories_) {
      for (std::size_t i = 0; i < order_.fresh; ++i) fixture->add_backend(now);
      for (std::size_t i = 0; i < order_.old / 2; ++i)
        fixture->set_endpoint_state(i, EndpointState::draining);
    }
    // Over the first window or so; whoever is declined comes again.
    std::vector<std::size_t> waiting;
    for (std::size_t i = 0; i < order_.tunnels; ++i)
      if (chance_() % 2) waiting.push_back(i);
    again_ = waiting.size();
    for (int step = 0; step < 40; ++step) {
      std::vector<std::size_t> later;
      for (std::size_t k = 0; k < waiting.size(); ++k) {
        if (step < 10 && chance_() % 4) {
          later.push_back(waiting[k]);
        } else if (!come(waiting[k], true)) {
          later.push_back(waiting[k]);
        }
      }
      waiting = later;
      for (auto& fixture : stories_) fixture->actions.advance(100 * kMillisecond);
    }
  }

  // Of the setups, how many went to cold ones; and the most that one was sent in a window, as a share of what
  // the rule leaves it there: N, and twice its root and two for chance.
  double to_cold() const { return static_cast<double>(cold_) / static_cast<double>(again_); }
  double nearest() const {
    double most = 0;
    const double all = static_cast<double>(order_.tunnels) / static_cast<double>(order_.old);
    const double full = 1.6 * all;  // tunnels that a warm one bears
    for (const auto& [name, times] : sent_) {
      for (std::size_t i = 0, j = 0; i < times.size(); ++i) {
        while (times[i] - times[j] > order_.window) ++j;
        const double age =
            static_cast<double>(times[j] - began_) / static_cast<double>(order_.slow_start_duration);
        const double share =
            std::min(1.0, order_.slow_start_initial_factor + (1 - order_.slow_start_initial_factor) * age);
        const double rate = full * share / static_cast<double>(order_.slow_start_duration);
        const double n = 3 * rate * static_cast<double>(order_.window);
        most = std::max(most, static_cast<double>(i - j + 1) / (n + 2 * std::sqrt(n) + 2));
      }
    }
    return most;
  }

 private:
  bool come(std::size_t index, bool again) {
    // Uneven: one relay of ten gets half of the traffic.
    std::size_t at = chance_() % stories_.size();
    if (order_.uneven && chance_() % 2) at = at / 10;
    BalancerFixture& fixture = *stories_[at];
    Session& session = fixture.make_session(1'000'000 + 7919 * index);
    session.group_key = 77 + 104729 * groups_[index];
    session.is_reconnecting = again;
    fixture.balancer.admit(fixture.sessions.back());
    if (!session.backend) return false;
    if (again && session.backend->slow_start.started_at() > 0) {
      ++cold_;
      sent_[session.backend->name].push_back(fixture.actions.current_time);
      began_ = session.backend->slow_start.started_at();
    }
    fixture.balancer.on_established(session, 20 * kMillisecond);
    return true;
  }

  Order order_;
  std::mt19937 chance_;
  std::vector<std::unique_ptr<BalancerFixture>> stories_;
  std::vector<std::size_t> groups_;
  std::map<std::uint64_t, std::vector<Micros>> sent_;
  std::size_t cold_ = 0, again_ = 0;
  Micros began_ = 0;
};

// Danger: each relay leaves the cold ones alone for fear of the others; the old ones drown, and what they
// drop drowns them again. Their part by weight is a third and more.
TEST(Sum, ClientsOfAReleaseLandOnTheColdBackendsByTheirPart) {
  for (unsigned seed = 1; seed <= 3; ++seed) {
    for (const unsigned relay_count : {30u, 100u, 350u}) {
      FleetScenario fleet({.relay_count = relay_count, .seed = seed});
      fleet.run();
      EXPECT_GT(fleet.to_cold(), 0.25) << relay_count << " relays, seed " << seed;
    }
  }
}

class SumOf : public ::testing::TestWithParam<std::tuple<unsigned, unsigned>> {};

TEST_P(SumOf, NoColdBackendIsSentMoreThanTheRuleLeavesByAnyNumberOfRelays) {
  const auto [relay_count, seed] = GetParam();
  double worst = 0;
  const auto play = [&worst, seed = seed](Order order, const char* what) {
    order.seed = seed;
    FleetScenario fleet(order);
    fleet.run();
    worst = std::max(worst, fleet.nearest());
    EXPECT_LE(fleet.nearest(), 1) << what;
  };
  play({.relay_count = relay_count}, "even");
  play({.relay_count = relay_count, .uneven = true}, "uneven");
  play({.relay_count = relay_count, .told_relays = std::max(1u, relay_count / 2)}, "told half");
  play({.relay_count = relay_count, .told_relays = 2 * relay_count}, "told double");
  play({.relay_count = relay_count, .fresh = 3}, "few fresh");
  play({.relay_count = relay_count, .fresh = 1, .uneven = true}, "one fresh");
  play({.relay_count = relay_count, .slow_start_duration = 24 * kSecond, .slow_start_initial_factor = 0.13},
       "slow to warm");
  std::printf("nearest to the rule: %.0f%%\n", 100 * worst);
}

INSTANTIATE_TEST_SUITE_P(RelaysAndSeeds, SumOf,
                         ::testing::Combine(::testing::Values(1u, 20u, 30u, 100u, 350u),
                                            ::testing::Range(1u, 9u)));

// As large as lists may be: 1,200 backends, each in a zone of its own, and as many relays. Settings, list,
// choice and drain.
TEST(Sum, TwelveHundredBackendsInAsManyZonesAndAsManyRelays) {
  constexpr std::size_t kMany = 1200;
  LoopbackRelay relay(2, 500, R"(,"balancers":1200)");
  std::string targets;
  for (std::size_t i = 0; i < kMany; ++i)
    targets += R"({"uid":"t-)" + std::to_string(i) + R"(","endpoint":"127.0.0.1:1","az":"z)" +
               std::to_string(i) + R"(","pod_group":)" + std::to_string(i) +
               R"(,"state":"leaving","capacity_hint":1.0,"boot_ms":0},)";
  const auto began = relay.event_loop.now();
  relay.publish_endpoints(R"({"rev":5,"all":true,"targets":[)" + targets + relay.endpoint(0, "leaving") +
                          "," + relay.endpoint(1, "active") + "]}");
  TestSocket here = relay.connect_client("OPEN 1 1 c=talk,d=1200\r\n");
  TestSocket there = relay.accept_attempt();
  ASSERT_TRUE(there);
  EXPECT_LT(relay.event_loop.now() - began, kSecond);

  BalancerConfig config = default_config();
  config.relay_count = kMany, config.cross_zone_price = 0.02;
  BalancerFixture fixture(0, config);
  for (unsigned i = 0; i < kMany; ++i) fixture.add_backend(0, i);
  for (std::uint64_t key = 1; key <= 300; ++key) ASSERT_TRUE(fixture.establish_session(key * 7919).backend);
  std::set<const Backend*> used;
  for (const auto& session : fixture.sessions) used.insert(session->backend.get());
  EXPECT_GT(used.size(), 100u);  // the one at home weighs more, but is not all
  const auto fullest =
      std::max_element(fixture.backends.begin(), fixture.backends.end(),
                       [](const auto& a, const auto& b) { return a->sessions.size() < b->sessions.size(); });
  const std::size_t held = (*fullest)->sessions.size();
  fixture.set_endpoint_state(static_cast<std::size_t>(fullest - fixture.backends.begin()),
                             EndpointState::draining);
  for (int i = 0; i < 10; ++i) fixture.actions.advance(kSecond);
  EXPECT_GE(fixture.actions.migrated_sessions.size(), held);
}

}  // namespace
}  // namespace cherryrail::testing
