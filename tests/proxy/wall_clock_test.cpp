// Steps of the wall clock while a relay runs: endpoint lists give the start times of backends in wall-clock
// time, and slow start must not become longer or shorter by the step.
#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <vector>

#include "support/fault_plan.hpp"
#include "support/loopback_relay.hpp"

namespace cherryrail::testing {
namespace {

constexpr int kSessions = 40;
constexpr int kWarmUpMilliseconds = 1000;
constexpr Micros kHour = 3'600'000'000;

constexpr const char* kSlowStart =
    R"(,"invariants":{"warm_up":1000,"fall":300,"fall_multiple":3,"cold_from":0.1,"ask_within":1000})";

std::int64_t wall_clock_milliseconds() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

// The endpoint list entry of a backend that started at `boot_ms` of the wall clock.
std::string started_endpoint(const LoopbackRelay& relay, std::size_t index, std::int64_t boot_ms) {
  std::string entry = relay.endpoint(index, "active");
  const std::string no_start_time = R"("boot_ms":0)";
  entry.replace(entry.find(no_start_time), no_start_time.size(), R"("boot_ms":)" + std::to_string(boot_ms));
  return entry;
}

// Establishes sessions and keeps them open.
class SessionHolder {
 public:
  explicit SessionHolder(LoopbackRelay& relay) : relay_(relay) {}

  // Establishes `sessions` new sessions, and returns how many went to `backend`.
  int count_sessions_at(std::size_t backend, int sessions) {
    int count = 0;
    for (int i = 0; i < sessions; ++i) {
      held_.push_back(relay_.establish_session(std::to_string(held_.size() + 1)));
      if (relay_.backend_index(held_.back().upstream) == backend) ++count;
    }
    return count;
  }

 private:
  LoopbackRelay& relay_;
  std::vector<EstablishedSession> held_;
};

// How many of kSessions sessions go to a backend that has just started, and to the same backend after slow
// start.
struct SlowStartCounts {
  int while_warming_up = 0;
  int after_slow_start = 0;
};

// Lists backend 1 of two as started at `boot_ms`, and counts its sessions during and after slow start.
SlowStartCounts count_slow_start_sessions(LoopbackRelay& relay, SessionHolder& sessions,
                                          std::int64_t boot_ms) {
  relay.publish_endpoints(endpoint_changes(5, {started_endpoint(relay, 1, boot_ms)}));
  relay.run_for(20);
  SlowStartCounts counts;
  counts.while_warming_up = sessions.count_sessions_at(1, kSessions);
  relay.run_for(kWarmUpMilliseconds);
  counts.after_slow_start = sessions.count_sessions_at(1, kSessions);
  return counts;
}

class WallClockStep : public ::testing::TestWithParam<Micros> {};

INSTANTIATE_TEST_SUITE_P(BackwardNoneForward, WallClockStep, ::testing::Values(-kHour, -5'000'000, 0, kHour));

TEST_P(WallClockStep, BackendStartedAfterTheStepHasTheUsualSlowStart) {
  const FaultPlanScope scope;
  LoopbackRelay relay(2, 500, kSlowStart);
  SessionHolder sessions(relay);
  sessions.count_sessions_at(1, kSessions / 2);

  fault_plan().wall_clock_offset_us = GetParam();
  const SlowStartCounts counts = count_slow_start_sessions(relay, sessions, wall_clock_milliseconds());

  EXPECT_LE(counts.while_warming_up, kSessions / 4);
  EXPECT_GE(counts.after_slow_start, kSessions / 4);
}

// Only the relay's clock is stepped; backends and discovery have the right time.
TEST_P(WallClockStep, StepOfTheRelaysClockAloneKeepsTheUsualSlowStart) {
  const FaultPlanScope scope;
  LoopbackRelay relay(2, 500, kSlowStart);
  SessionHolder sessions(relay);
  sessions.count_sessions_at(1, kSessions / 2);

  const std::int64_t started_at = wall_clock_milliseconds();
  fault_plan().wall_clock_offset_us = GetParam();
  const SlowStartCounts counts = count_slow_start_sessions(relay, sessions, started_at);

  EXPECT_LE(counts.while_warming_up, kSessions / 4);
  EXPECT_GE(counts.after_slow_start, kSessions / 4);
}

// The relay's clock was an hour ahead when the relay started, so every later backend start seems to be an
// hour old. But the watch's previous list, received a moment before, did not contain this start yet, so it is
// recent.
TEST(WallClock, ClockAheadAtTheRelaysStartDoesNotSkipSlowStart) {
  const FaultPlanScope scope;
  fault_plan().wall_clock_offset_us = kHour;
  LoopbackRelay relay(2, 500, kSlowStart);
  SessionHolder sessions(relay);
  relay.publish_endpoints(endpoint_changes(5, {}));
  sessions.count_sessions_at(1, kSessions / 2);

  const std::int64_t started_at = wall_clock_milliseconds() - kHour / 1000;
  relay.publish_endpoints(endpoint_changes(6, {started_endpoint(relay, 1, started_at)}));
  relay.run_for(20);

  EXPECT_LE(sessions.count_sessions_at(1, kSessions), kSessions / 4);
}

}  // namespace
}  // namespace cherryrail::testing
