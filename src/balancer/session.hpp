// A client's long-lived connection through the relay, from its open request to its end.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "balancer/types.hpp"

namespace cherryrail {

struct Backend;

struct Session : std::enable_shared_from_this<Session> {
  // Whether it has been sent to this backend, since it was placed for the first time or began to migrate.
  bool has_tried(const Backend& one) const {
    return std::find(tried_backends.begin(), tried_backends.end(), &one) != tried_backends.end();
  }

  // Set by the caller before Balancer::admit or Balancer::adopt.
  const TrafficClass* traffic_class = nullptr;
  std::uint64_t client_key = 0;
  std::uint64_t group_key = 0;  // sessions of one group share work at a backend; 0: no group
  std::size_t tenant = 0;
  Micros deadline = 0;                      // the client's timeout
  std::optional<double> load_hint;          // work a second
  bool is_mid_flow = false;                 // its packets reached another relay until now
  bool is_reconnecting = false;             // after a break, a migration or a rejection
  std::shared_ptr<Backend> pinned_backend;  // where it was before, and may be alone; null: anywhere

  // Kept by the balancer; callers only read.
  std::shared_ptr<Backend> backend;  // that has the attempt under way, or the established session
  unsigned attempts = 0;             // of a pinned session: those that may have reached its backend
  unsigned pinned_failures = 0;      // attempts at its pinned backend that failed
  bool is_answered = false;          // the client has its final answer
  bool is_established = false;
  bool is_migration_queued = false;
  Micros attempt_started_at = 0;
  // Backends that the latest placement passed over: the log's reason for a rejection.
  unsigned passed_over_warming_up = 0;
  unsigned passed_over_at_capacity = 0;

  // The balancer's own.
  std::function<void(const AttemptOutcome&)> on_backend_ended;  // what the end of the step under way leads to
  std::vector<const Backend*> tried_backends;
  const Backend* preferred_backend = nullptr;  // ranked first when it was ranked last
  std::uint64_t hash_key = 0;                  // the group's key, or the client's
  double load = 0;
  std::size_t index_at_backend = 0;
  const Backend* may_have_run_on = nullptr;  // the first backend at which an attempt may have taken effect
  Micros may_have_run_since = 0;
};

}  // namespace cherryrail
