// Controls of the fault shim for tests and the soak test: failing system calls and the wall clock's offset.
#pragma once

#include <atomic>
#include <cstdint>

namespace cherryrail::testing {

// Makes one kind of system call fail. The members may be changed while other threads or processes make calls.
struct CallFaults {
  std::atomic<std::int32_t> error_number{0};  // the errno to set; 0: no call of this kind fails
  std::atomic<std::int32_t> remaining{0};     // number of next calls that fail
  std::atomic<std::int32_t> per_mille{0};     // share of the other calls that fail
};

// Shared with the soak driver as a memory-mapped file. The order of the members has to match
// tests/soak/fault_plan.py; the first has 8 bytes, all others are fields of 4 bytes.
struct FaultPlan {
  std::atomic<std::int64_t> wall_clock_offset_us{0};  // added to the system's wall clock
  CallFaults accept;                                  // accept, accept4
  CallFaults socket;
  CallFaults connect;                               // TCP only
  CallFaults storage;                               // write to regular files, fsync, rename
  CallFaults wait;                                  // epoll_wait, poll; usually with EINTR
  CallFaults receive;                               // recv, with EINTR or a connection error
  CallFaults hand_over;                             // sendmsg on Unix sockets
  CallFaults send;                                  // send and sendmsg on TCP
  CallFaults epoll_ctl;                             // to add or modify a descriptor; removing one never fails
  std::atomic<std::int32_t> short_io_per_mille{0};  // share of partial recv, send and sendmsg on TCP
  std::atomic<std::int32_t> next_wait_delay_ms{0};  // delays the next poll once
};

// The plan in effect: the file named by the environment variable FAULT_PLAN, or else a plan of this process,
// which at first injects no faults.
FaultPlan& fault_plan();

// Clears the plan in its destructor, so that no fault outlives the test.
class FaultPlanScope {
 public:
  FaultPlanScope() = default;
  ~FaultPlanScope();
  FaultPlanScope(const FaultPlanScope&) = delete;
  FaultPlanScope& operator=(const FaultPlanScope&) = delete;
};

}  // namespace cherryrail::testing
