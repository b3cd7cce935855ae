#include "protocol/whole_line_buffer.hpp"

#include <gtest/gtest.h>

#include <string>
#include <string_view>
#include <vector>

namespace cherryrail::testing {
namespace {

struct Stream {
  protocol::WholeLineBuffer buffer;
  std::vector<std::string> passed_on;

  void feed(std::string_view bytes) {
    buffer.feed(bytes, [this](std::string_view data) { passed_on.emplace_back(data); });
  }
};

TEST(WholeLineBuffer, HoldsTheBeginningOfALineBackUntilItIsComplete) {
  Stream stream;

  stream.feed("one\r\ntwo\nthr");
  stream.feed("e");
  EXPECT_TRUE(stream.buffer.has_partial_line());
  stream.feed("e\r");
  stream.feed("\n");

  EXPECT_EQ(stream.passed_on, (std::vector<std::string>{"one\r\ntwo\n", "three\r\n"}));
  EXPECT_FALSE(stream.buffer.has_partial_line());
}

TEST(WholeLineBuffer, GivesUpTheBeginningOfALine) {
  Stream stream;

  stream.feed("one\r\ntw");

  EXPECT_EQ(stream.buffer.take_partial_line(), "tw");
  EXPECT_FALSE(stream.buffer.has_partial_line());
  EXPECT_EQ(stream.passed_on, std::vector<std::string>{"one\r\n"});
}

// A peer that never ends its line must not exhaust the memory.
TEST(WholeLineBuffer, PassesAnOverlongLineOnInPieces) {
  Stream stream;
  const std::string half(protocol::kMaxLineLength / 2 + 1, 'x');

  stream.feed(half);
  EXPECT_TRUE(stream.passed_on.empty());
  stream.feed(half);
  EXPECT_EQ(stream.passed_on, std::vector<std::string>{half + half});
  EXPECT_TRUE(stream.buffer.is_within_overlong_line());
  stream.feed("y");
  stream.feed("z\r\nne");

  EXPECT_FALSE(stream.buffer.is_within_overlong_line());
  EXPECT_TRUE(stream.buffer.has_partial_line());
  EXPECT_EQ(stream.passed_on, (std::vector<std::string>{half + half, "y", "z\r\n"}));
}

TEST(WholeLineBuffer, HoldsBackALineOfTheGreatestLength) {
  Stream stream;
  const std::string longest(protocol::kMaxLineLength, 'x');

  stream.feed(longest);
  EXPECT_TRUE(stream.passed_on.empty());
  stream.feed("\n");

  EXPECT_EQ(stream.passed_on, std::vector<std::string>{longest + "\n"});
}

}  // namespace
}  // namespace cherryrail::testing
