// Value types of the balancer's interface.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "balancer/time.hpp"

namespace cherryrail {

// Whether an attempt that may have taken effect may be retried.
enum class Idempotency : std::uint8_t {
  idempotent,       // always
  idempotency_key,  // within DeduplicationScope and deduplication_window, where duplicates are recognised
  non_idempotent    // never
};

// Which backends recognise a duplicate of an attempt made at one of them.
enum class DeduplicationScope : std::uint8_t { all, zone, cell };

// A backend's state in the endpoint list. A draining backend gets no new attempts; a removed one is gone.
enum class EndpointState : std::uint8_t { ready, draining, gone };

// How an attempt, an established session or a health check ended.
enum class AttemptResult : std::uint8_t {
  succeeded,
  error,           // the backend answered with an error
  rejected,        // the backend answered that it accepts no more, so nothing took effect
  timed_out,       // sent, but not answered in time
  connect_failed,  // no connection, so nothing reached the backend
  reset,           // the connection ended after the request had been sent
  cancelled,       // by this relay or by its client
  not_sent         // no longer needed, or this process could not start it
};

// Whether an attempt with this result may have taken effect at its backend.
constexpr bool may_have_run(AttemptResult result) {
  return result != AttemptResult::rejected && result != AttemptResult::connect_failed &&
         result != AttemptResult::not_sent;
}

// A class of sessions that the operator configures, such as chat or telemetry, with its objectives.
struct TrafficClass {
  Micros attempt_latency_objective = 0;
  Micros client_timeout = 0;             // a client leaves if it has no answer by then
  Micros message_latency_objective = 0;  // on an established session
  double priority_weight = 1;            // value of serving one session, relative to other classes
  Idempotency idempotency = Idempotency::idempotent;
  DeduplicationScope deduplication_scope = DeduplicationScope::all;
  Micros deduplication_window = 0;  // how long a duplicate is recognised
  std::size_t index = 0;            // of this class in BalancerConfig::traffic_classes
};

// Settings of a balancer, fixed at construction.
struct BalancerConfig {
  std::vector<TrafficClass> traffic_classes;
  std::vector<double> tenant_shares;  // by tenant: its quota of established sessions over all relays

  unsigned relay_count = 1;  // relays that share the backends
  unsigned relay_index = 0;  // of this relay among them
  unsigned zone = 0;         // of this relay
  unsigned max_attempts = 1;

  bool must_request_endpoints = false;  // discovery sends the endpoint list only on request
  bool may_check_health = false;
  bool may_cancel_attempts = false;
  bool may_send_retry_after = false;
  Micros max_retry_after = 0;
  Micros endpoint_request_interval = 0;  // longest time between two requests for the endpoint list
  // Delay after a failure of a discovery agent that serves this relay alone; 0: discovery is shared.
  Micros endpoint_retry_delay = 0;
  Micros timer_resolution = 0;

  // A backend that is warming up fails when it gets more than `overload_factor` times its current capacity
  // within `overload_window`. Its capacity rises from `slow_start_initial_factor` to 1 over
  // `slow_start_duration`.
  Micros overload_window = 0;
  Micros slow_start_duration = 0;
  double overload_factor = 1;
  double slow_start_initial_factor = 1;

  double health_check_price = 0;
  double cross_zone_price = 0;

  // Retries allowed within any `retry_budget_window` (0: unlimited): `retry_budget_minimum` plus
  // `retry_budget_ratio` times the sessions admitted in that window.
  Micros retry_budget_window = 0;
  double retry_budget_minimum = 0;
  double retry_budget_ratio = 0;
};

// The result and duration of an attempt, an established session or a health check.
struct AttemptOutcome {
  AttemptResult result = AttemptResult::succeeded;
  Micros duration = 0;
};

// What a backend reports about itself with an answer or a health check.
struct LoadReport {
  std::optional<double> reported_utilization;  // its load divided by its capacity
};

}  // namespace cherryrail
