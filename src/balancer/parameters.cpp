#include "balancer/parameters.hpp"

#include <algorithm>

namespace cherryrail {
namespace {

constexpr double kMinInitialFactor = 0.01;
constexpr Micros kMinAttemptObjective = kMillisecond;
constexpr Micros kMaxShutdownDuration = 9 * kSecond / 4;  // within the time that the platform allows for it

}  // namespace

BalancerParameters::BalancerParameters(const BalancerConfig& config) : BalancerConfig(config) {
  relay_count = std::max(1U, relay_count);
  overload_window = std::max<Micros>(1, overload_window);
  slow_start_duration = std::max<Micros>(1, slow_start_duration);
  slow_start_initial_factor = std::clamp(slow_start_initial_factor, kMinInitialFactor, 1.0);
  capacity_recovery_time = std::max(slow_start_duration, 3 * overload_window) / 2;
  answer_margin = 2 * std::max<Micros>(timer_resolution, kMillisecond);
  for (const TrafficClass& traffic_class : traffic_classes) {
    const Micros attempt_objective = std::max(traffic_class.attempt_latency_objective, kMinAttemptObjective);
    shortest_attempt_objective = std::min(shortest_attempt_objective, attempt_objective);
    shortest_message_objective =
        std::min(shortest_message_objective, traffic_class.message_latency_objective);
    longest_message_objective = std::max(longest_message_objective, traffic_class.message_latency_objective);
    const Micros shutdown = std::max(shutdown_duration, 3 * traffic_class.client_timeout / 4);
    shutdown_duration = std::min(kMaxShutdownDuration, shutdown);
    mean_priority_weight += traffic_class.priority_weight / static_cast<double>(traffic_classes.size());
  }
}

}  // namespace cherryrail
