// The wall clock is stepped while a relay runs; backends that start then are listed with the time that it
// shows.
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

// That backend as endpoint lists name it once it has started at a time of the wall clock.
std::string started_endpoint(const LoopbackRelay& relay, std::size_t index, std::int64_t boot_ms) {
  std::string entry = relay.endpoint(index, "active");
  const std::string never = R"("boot_ms":0)";
  entry.replace(entry.find(never), never.size(), R"("boot_ms":)" + std::to_string(boot_ms));
  return entry;
}

// Establishes sessions and keeps them.
class SessionHolder {
 public:
  explicit SessionHolder(LoopbackRelay& relay) : relay_(relay) {}

  // How many of that many new sessions went to the backend.
  int count_at(std::size_t backend, int sessions) {
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

// How many of that many sessions go to a backend that has just started, and once it is warm.
struct SessionsAtStart {
  int while_cold = 0;
  int once_warm = 0;
};

// Backend 1 of two starts, and is listed with that time.
SessionsAtStart count_at_start(LoopbackRelay& relay, SessionHolder& sessions, std::int64_t boot_ms) {
  relay.publish_endpoints(endpoint_changes(5, {started_endpoint(relay, 1, boot_ms)}));
  relay.run_for(20);
  SessionsAtStart counts;
  counts.while_cold = sessions.count_at(1, kSessions);
  relay.run_for(kWarmUpMilliseconds);
  counts.once_warm = sessions.count_at(1, kSessions);
  return counts;
}

class WallClockStep : public ::testing::TestWithParam<Micros> {};

INSTANTIATE_TEST_SUITE_P(BackNotAndForward, WallClockStep, ::testing::Values(-kHour, -5'000'000, 0, kHour));

TEST_P(WallClockStep, ABackendThatStartsAfterItWarmsUpForItsTimeAndNoLonger) {
  const FaultPlanScope scope;
  LoopbackRelay relay(2, 500, kSlowStart);
  SessionHolder sessions(relay);
  sessions.count_at(1, kSessions / 2);

  fault_plan().wall_clock_offset_us = GetParam();
  const SessionsAtStart counts = count_at_start(relay, sessions, wall_clock_milliseconds());

  EXPECT_LE(counts.while_cold, kSessions / 4);
  EXPECT_GE(counts.once_warm, kSessions / 4);
}

// The relay alone has a clock that was stepped; backends and discovery have the right time.
TEST_P(WallClockStep, OfThisRelayAloneChangesNothingForABackendThatStarts) {
  const FaultPlanScope scope;
  LoopbackRelay relay(2, 500, kSlowStart);
  SessionHolder sessions(relay);
  sessions.count_at(1, kSessions / 2);

  const std::int64_t started_at = wall_clock_milliseconds();
  fault_plan().wall_clock_offset_us = GetParam();
  const SessionsAtStart counts = count_at_start(relay, sessions, started_at);

  EXPECT_LE(counts.while_cold, kSessions / 4);
  EXPECT_GE(counts.once_warm, kSessions / 4);
}

// Its clock was an hour ahead when the relay started, so every later start seems to be an hour old. But it
// was news on a watch that had told of no such start a moment before.
TEST(WallClock, ThatWasAheadAtTheRelaysStartMakesNoBackendWarm) {
  const FaultPlanScope scope;
  fault_plan().wall_clock_offset_us = kHour;
  LoopbackRelay relay(2, 500, kSlowStart);
  SessionHolder sessions(relay);
  relay.publish_endpoints(endpoint_changes(5, {}));
  sessions.count_at(1, kSessions / 2);

  const std::int64_t started_at = wall_clock_milliseconds() - kHour / 1000;
  relay.publish_endpoints(endpoint_changes(6, {started_endpoint(relay, 1, started_at)}));
  relay.run_for(20);

  EXPECT_LE(sessions.count_at(1, kSessions), kSessions / 4);
}

}  // namespace
}  // namespace cherryrail::testing
