// What tests and the soak ask of the fault shim: which system calls fail, and how far the wall clock is off.
#pragma once

#include <atomic>
#include <cstdint>

namespace cherryrail::testing {

// Makes a kind of system call fail. All members may be written while the calls are made.
struct CallFaults {
  std::atomic<std::int32_t> error_number{0};  // as errno; 0: the kind never fails
  std::atomic<std::int32_t> remaining{0};     // so many of the next calls fail
  std::atomic<std::int32_t> per_mille{0};     // beside those, so many of a thousand
};

// Shared with the soak driver as a mapped file: tests/soak/fault_plan.py knows the order of the members,
// which are all of 4 bytes but for the first.
struct FaultPlan {
  std::atomic<std::int64_t> wall_clock_offset_us{0};  // added to the system's wall clock
  CallFaults accept;                                  // accept, accept4
  CallFaults socket;
  CallFaults connect;                               // TCP alone
  CallFaults storage;                               // write, fsync and rename of regular files
  CallFaults wait;                                  // epoll_wait and poll, with EINTR as a rule
  CallFaults receive;                               // recv; EINTR or an error of the connection
  CallFaults hand_over;                             // sendmsg on Unix sockets
  CallFaults send;                                  // send and sendmsg on TCP
  CallFaults epoll_ctl;                             // epoll_ctl
  std::atomic<std::int32_t> short_io_per_mille{0};  // recv, send and sendmsg on TCP that take a part only
  std::atomic<std::int32_t> next_wait_delay_ms{0};  // the next wait takes so much longer, once
};

// The plan in force: that of the file which FAULT_PLAN names, else this process's own, which asks for
// nothing.
FaultPlan& fault_plan();

// Puts everything back to a sound system when it ends.
class FaultPlanScope {
 public:
  FaultPlanScope() = default;
  ~FaultPlanScope();
  FaultPlanScope(const FaultPlanScope&) = delete;
  FaultPlanScope& operator=(const FaultPlanScope&) = delete;
};

}  // namespace cherryrail::testing
