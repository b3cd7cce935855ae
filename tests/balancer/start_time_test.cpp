// Conversion of start times from other machines to this process's clock, with and without wall clock steps.
#include "balancer/start_time.hpp"

#include <gtest/gtest.h>

namespace cherryrail::testing {
namespace {

constexpr Micros kNow = 1'800'000'000 * kSecond;
constexpr Micros kHour = 3600 * kSecond;

TEST(StartTime, EqualsTheReportedTimeWithoutAWallClockStep) {
  EXPECT_EQ(local_start_time(kNow - 3 * kSecond, 0, kNow), kNow - 3 * kSecond);
  EXPECT_EQ(local_start_time(0, 0, kNow), 0);
  EXPECT_EQ(local_start_time(0, kHour, kNow), 0);
}

TEST(StartTime, AfterAStepIsConvertedByTheStep) {
  for (const Micros step : {-kHour, -5 * kSecond, kHour})
    EXPECT_EQ(local_start_time(kNow + step - kSecond, step, kNow), kNow - kSecond) << step;
}

TEST(StartTime, BeforeAStepIsUnchangedIfTheConvertedTimeIsInTheFuture) {
  EXPECT_EQ(local_start_time(kNow - 3 * kSecond, -kHour, kNow), kNow - 3 * kSecond);
  EXPECT_EQ(local_start_time(kNow - 2 * kHour, kHour, kNow), kNow - 2 * kHour);
}

TEST(StartTime, IsNowIfBothPossibleTimesAreInTheFuture) {
  EXPECT_EQ(local_start_time(kNow + 7 * kHour, 0, kNow), kNow);
  EXPECT_EQ(local_start_time(kNow + 7 * kHour, kHour, kNow), kNow);
}

TEST(StartTime, IsNowIfSlightlyInTheFuture) {
  EXPECT_EQ(local_start_time(kNow + kSecond / 10, 0, kNow), kNow);
}

TEST(StartTime, OfANewlyListedBackendIsNowIfOlderThanTheMaximumListDelay) {
  EXPECT_EQ(validated_start_time(kNow - kHour, kNow - 2 * kSecond, kNow), kNow);
  EXPECT_EQ(validated_start_time(kNow - 9 * kSecond, kNow - 2 * kSecond, kNow), kNow - 9 * kSecond);
}

TEST(StartTime, OfANewlyListedBackendIsKeptAfterALongOutageOrAtProcessStart) {
  EXPECT_EQ(validated_start_time(kNow - 60 * kSecond, kNow - 70 * kSecond, kNow), kNow - 60 * kSecond);
  EXPECT_EQ(validated_start_time(kNow - kHour, 0, kNow), kNow - kHour);
  EXPECT_EQ(validated_start_time(0, kNow - kSecond, kNow), 0);
}

}  // namespace
}  // namespace cherryrail::testing
