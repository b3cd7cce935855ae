// When a backend started, and what this relay has sent it of its share while it warms up.
#pragma once

#include <algorithm>
#include <cstdint>

#include "balancer/state_snapshot.hpp"
#include "balancer/time.hpp"

namespace cherryrail {

class SlowStartStatus {
 public:
  // 0 if the backend started long ago.
  Micros started_at() const { return started_at_; }
  void set_started_at(Micros time) { started_at_ = time; }
  // It may have restarted at this time, unless it is known to have started later.
  void assume_started_at(Micros time) { started_at_ = std::max(started_at_, time); }

  // It was sent something in the admission slot of this number.
  void record_admission(std::int64_t slot);

  void save(BackendSnapshot& snapshot) const;
  // What was sent holds in any case, the start only where discovery tells of no other.
  void restore_admissions(const BackendSnapshot& snapshot);
  void restore_start(const BackendSnapshot& snapshot) { assume_started_at(snapshot.started_at); }

 private:
  friend class SlowStart;

  Micros started_at_ = 0;
  std::int64_t admission_slot_ = -1;  // in which it was last sent something
  unsigned admitted_in_slot_ = 0;
};

}  // namespace cherryrail
