// A client's long-lived connection through the relay, from its open request until it ends.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "balancer/time.hpp"
#include "balancer/types.hpp"

namespace cherryrail {

struct Backend;

struct Session : std::enable_shared_from_this<Session> {
  // Whether an attempt was made at this backend since the session was first placed or started to migrate.
  bool has_tried(const Backend& candidate) const {
    return std::find(tried_backends.begin(), tried_backends.end(), &candidate) != tried_backends.end();
  }

  // Set by the caller before Balancer::admit or Balancer::adopt.
  const TrafficClass* traffic_class = nullptr;
  std::uint64_t client_key = 0;
  std::uint64_t group_key = 0;  // sessions of one group share work at their backend; 0: no group
  std::size_t tenant = 0;
  Micros deadline = 0;                      // the client's timeout
  std::optional<double> load_hint;          // expected work per second
  bool is_mid_flow = false;                 // its packets went through another relay until now
  bool is_reconnecting = false;             // after a disconnect, a migration or a rejection
  std::shared_ptr<Backend> pinned_backend;  // the only backend that may serve the session; null: any

  // Maintained by the balancer; read-only for callers.
  std::shared_ptr<Backend> backend;  // of the attempt under way or the established session; else null
  unsigned attempts = 0;             // for a pinned session, only those that may have reached its backend
  unsigned pinned_failures = 0;      // attempts at its pinned backend that failed
  bool is_answered = false;          // the client has its final answer
  bool is_established = false;
  bool is_migration_queued = false;
  bool is_migrating = false;     // its client is being told to reconnect
  bool is_unresponsive = false;  // its backend has left messages unanswered for seconds
  Micros attempt_started_at = 0;
  // Number of backends that the latest placement skipped, by cause; gives the logged reason of a rejection.
  unsigned passed_over_warming_up = 0;
  unsigned passed_over_at_capacity = 0;

  // Internal to the balancer.
  TimerId answer_timer;  // for the answer before the client's timeout
  // Called when the attempt, the established session or the migration ends at the backend.
  std::function<void(const AttemptOutcome&)> on_backend_ended;
  std::vector<const Backend*> tried_backends;
  const Backend* preferred_backend = nullptr;  // ranked first in the latest ranking
  std::uint64_t hash_key = 0;                  // the group's key, or the client's
  double load = 0;
  std::size_t index_at_backend = 0;
  const Backend* may_have_run_on = nullptr;  // the first backend at which an attempt may have taken effect
  Micros may_have_run_since = 0;
};

}  // namespace cherryrail
