// The state that a balancer hands over to its successor in a hot restart.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "balancer/time.hpp"

namespace cherryrail {

struct BackendSnapshot {
  std::uint64_t name = 0;
  Micros started_at = 0;
  Micros reported_started_at = 0;
  Micros capacity_reduced_at = 0;
  double failure_log_odds = 0;
  double capacity_limit = 0;
  double load_at_overload = 0;
  bool is_ejected = false;
  bool is_unresponsive = false;
  bool is_capacity_inferred = false;
  std::int64_t admission_slot = -1;
  unsigned admitted_in_slot = 0;
};

// Times are by the clock of the process that took the snapshot, except `reported_started_at`, which is by the
// wall clock. On any clock, 0 means never or long ago.
struct StateSnapshot {
  Micros balancer_started_at = 0;
  Micros admission_slots_from = 0;
  Micros general_overload_until = 0;
  std::size_t new_sessions = 0;
  double health_check_tokens = 0;
  double recent_retries = 0;  // within the retry budget's last window
  std::vector<BackendSnapshot> backends;
  // Unix time at which the steady clock of the process that took the snapshot read 0; 0: unknown.
  Micros clock_origin = 0;
};

// Splits the snapshot into parts of at most `max_backends` backends. Importing the parts one after the other
// is equivalent to importing the whole.
std::vector<StateSnapshot> split(const StateSnapshot& snapshot, std::size_t max_backends);

// Adds `shift` to all times, to convert them to the clock of another process.
void shift_times(StateSnapshot& snapshot, Micros shift);

}  // namespace cherryrail
