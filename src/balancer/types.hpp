// Plain values of the balancer: what its callers tell it and what they are told.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "balancer/time.hpp"

namespace cherryrail {

// Whether an attempt that may have taken effect may be repeated.
enum class Idempotency : std::uint8_t {
  idempotent,       // always
  idempotency_key,  // where and as long as a repeat is recognised: DeduplicationScope, deduplication_window
  non_idempotent    // never
};

// The backends that recognise a repeat of an attempt made at one of them.
enum class DeduplicationScope : std::uint8_t { all, zone, cell };

// What discovery says of a backend. A draining backend gets nothing new; a removed one is gone.
enum class EndpointState : std::uint8_t { ready, draining, gone };

// How an attempt, an established session or a health check ended.
enum class AttemptResult : std::uint8_t {
  succeeded,
  error,           // the backend answered with an error
  rejected,        // the backend answered that it takes nothing in
  timed_out,       // sent, and not answered in time
  connect_failed,  // the backend cannot have seen anything of it
  reset,           // the connection ended after it had been sent
  cancelled,       // by this relay or by its client
  not_sent         // it was no longer wanted, or could not be made by this process
};

// Whether an attempt that ended so may have taken effect at its backend.
constexpr bool may_have_run(AttemptResult result) {
  return result != AttemptResult::rejected && result != AttemptResult::connect_failed &&
         result != AttemptResult::not_sent;
}

// An operator's class of sessions, such as chat or telemetry, with what it promises.
struct TrafficClass {
  Micros attempt_latency_objective = 0;
  Micros client_timeout = 0;             // a client that has no answer by then has left
  Micros message_latency_objective = 0;  // on an established session
  double priority_weight = 1;            // what serving one session is worth, against other classes
  Idempotency idempotency = Idempotency::idempotent;
  DeduplicationScope deduplication_scope = DeduplicationScope::all;
  Micros deduplication_window = 0;  // how long a repeat is recognised
  std::size_t index = 0;            // of this class in BalancerConfig::traffic_classes
};

// What a site grants and demands; given once, when the balancer is made.
struct BalancerConfig {
  std::vector<TrafficClass> traffic_classes;
  std::vector<double> tenant_shares;  // established sessions within each tenant's share, over all relays

  unsigned relay_count = 1;  // relays that share the backends
  unsigned relay_index = 0;  // this one among them
  unsigned zone = 0;         // of this relay
  unsigned max_attempts = 1;

  bool must_request_endpoints = false;  // the endpoint list comes only when it is asked for
  bool may_check_health = false;
  bool may_cancel_attempts = false;
  bool may_send_retry_after = false;
  Micros max_retry_after = 0;
  Micros endpoint_request_interval = 0;  // the longest that the list may go unasked for
  Micros endpoint_retry_delay =
      0;  // after a failure, where discovery serves this relay alone; 0: it is shared
  Micros timer_resolution = 0;

  // A backend that warms up fails when it gets more than `overload_factor` times its capacity of the moment
  // within `overload_window`. Its capacity rises from `slow_start_initial_factor` to 1 over
  // `slow_start_duration`.
  Micros overload_window = 0;
  Micros slow_start_duration = 0;
  double overload_factor = 1;
  double slow_start_initial_factor = 1;

  double health_check_price = 0;
  double cross_zone_price = 0;

  // Retries in any span of `retry_budget_window` (0: no budget): `retry_budget_minimum`, and
  // `retry_budget_ratio` of the sessions admitted in that span.
  Micros retry_budget_window = 0;
  double retry_budget_minimum = 0;
  double retry_budget_ratio = 0;
};

// How something ended, and how long it took.
struct AttemptOutcome {
  AttemptResult result = AttemptResult::succeeded;
  Micros duration = 0;
};

// What a backend says of itself, with an answer or a health check.
struct LoadReport {
  std::optional<double> reported_utilization;  // load asked of it over what it can serve
};

}  // namespace cherryrail
