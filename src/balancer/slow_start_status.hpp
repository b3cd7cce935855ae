// When a backend started, and how much of its admission budget this relay has used while it warms up.
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
  // Assumes that the backend started at this time, unless a later start is known.
  void assume_started_at(Micros time) { started_at_ = std::max(started_at_, time); }

  // Counts an attempt sent to the backend in the admission slot with this number.
  void record_admission(std::int64_t slot);

  void save(BackendSnapshot& snapshot) const;
  // Recorded admissions are always restored; the start time only if discovery reports no other.
  void restore_admissions(const BackendSnapshot& snapshot);
  void restore_start(const BackendSnapshot& snapshot) { assume_started_at(snapshot.started_at); }

 private:
  friend class SlowStart;

  Micros started_at_ = 0;
  std::int64_t admission_slot_ = -1;  // the slot of the latest attempt; -1: none yet
  unsigned admitted_in_slot_ = 0;
};

}  // namespace cherryrail
