// The log when standard error accepts no lines: logging must not throw, block or disturb the relay.
#include "net/log.hpp"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <future>
#include <string>

#include "net/nonblocking_write.hpp"
#include "support/loopback_relay.hpp"
#include "support/redirected_stderr.hpp"

namespace cherryrail::testing {
namespace {

TEST(Log, DoesNotThrowOnAFullDisk) {
  net::Log log;
  const RedirectedStderr full(open("/dev/full", O_WRONLY));

  EXPECT_NO_THROW(log.write(net::Topic::error, "nobody can read this"));
}

// A blocking write to a pipe whose reader has stopped would block the relay.
TEST(Log, DoesNotBlockOnAFullPipeAndReportsOmittedLines) {
  std::array<int, 2> ends{};
  ASSERT_EQ(pipe(ends.data()), 0);
  net::Log log;
  const std::string line(1000, 'x');
  std::string received(1 << 17, '\0');

  {
    const RedirectedStderr to_pipe(dup(ends[1]));
    for (int i = 0; i < 200; ++i) log.write(net::Topic::error, "{}", line);
    EXPECT_GT(log.lost_lines(), 0u);
    EXPECT_GT(read(ends[0], received.data(), received.size()), 0);
    log.write(net::Topic::error, "the reader is back");
  }
  const ssize_t size = read(ends[0], received.data(), received.size());
  close(ends[0]);
  close(ends[1]);

  ASSERT_GT(size, 0);
  received.resize(static_cast<std::size_t>(size));
  const std::string note = fmt::format("({} lines left out before)", log.lost_lines());
  EXPECT_NE(received.find("the reader is back " + note), std::string::npos) << received.substr(0, 200);
}

// A pipe of two pages with one of them full, and no reader: it accepts a line of up to 4096 bytes.
class LogToAnAlmostFullPipe : public ::testing::Test {
 protected:
  void SetUp() override {
    ASSERT_EQ(pipe(ends_.data()), 0);
    const int page = static_cast<int>(sysconf(_SC_PAGESIZE));
    ASSERT_EQ(fcntl(ends_[1], F_SETPIPE_SZ, 2 * page), 2 * page);
    const std::string filling(static_cast<std::size_t>(page), '\n');
    ASSERT_EQ(write(ends_[1], filling.data(), filling.size()), page);
  }
  void TearDown() override {
    close(ends_[0]);
    close(ends_[1]);
  }

  std::string read_all() const {
    std::string received(1 << 18, '\0');
    const ssize_t size = read(ends_[0], received.data(), received.size());
    received.resize(static_cast<std::size_t>(std::max<ssize_t>(size, 0)));
    return received.substr(received.find_first_not_of('\n'));
  }

  std::array<int, 2> ends_{};
};

// Guards against an event loop that stands still while nobody reads the log: a line with a long session id
// does not fit into the last page of a pipe that polls as writable.
TEST_F(LogToAnAlmostFullPipe, DoesNotBlockOnALineThatThePipeCannotTakeWhole) {
  constexpr auto kTimeout = std::chrono::seconds(2);
  net::Log log;
  const std::size_t page = static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
  const std::string long_text(2 * page, 'x');
  const RedirectedStderr to_pipe(dup(ends_[1]));

  auto finished = std::async(std::launch::async, [&] { log.write(net::Topic::error, "{}", long_text); });
  const bool is_written = finished.wait_for(kTimeout) == std::future_status::ready;
  const std::string line = read_all();  // also lets a blocked write go on
  finished.wait();

  EXPECT_TRUE(is_written);
  EXPECT_EQ(line.size(), 4096u);
  EXPECT_TRUE(line.ends_with("xxx...\n"));
  EXPECT_EQ(log.lost_lines(), 0u);
}

// Two processes share a pipe during a hot restart, and both may find the last page free at the same moment.
TEST_F(LogToAnAlmostFullPipe, NeverWaitsWhileAnotherWriterTakesTheLastPage) {
  constexpr auto kTimeout = std::chrono::seconds(2);
  constexpr int kRounds = 20000;
  ASSERT_EQ(fcntl(ends_[0], F_SETFL, O_NONBLOCK), 0);
  const std::string text(4000, 'x');
  std::atomic<bool> is_reading = true;
  const auto write_lines = [&] {
    while (is_reading) net::write_without_waiting(ends_[1], text);
  };
  auto one = std::async(std::launch::async, write_lines);
  auto other = std::async(std::launch::async, write_lines);
  std::string received(4096, '\0');
  const auto read_page = [&] { return read(ends_[0], received.data(), received.size()); };

  for (int i = 0; i < kRounds; ++i) read_page();
  is_reading = false;
  const auto is_ready = [kTimeout](auto& writer) {
    return writer.wait_for(kTimeout) == std::future_status::ready;
  };
  EXPECT_TRUE(is_ready(one) && is_ready(other));

  while (one.wait_for(std::chrono::seconds(0)) != std::future_status::ready ||
         other.wait_for(std::chrono::seconds(0)) != std::future_status::ready)
    read_page();  // lets a blocked write go on
}

// Platforms may connect standard error to a socket.
TEST(Log, DoesNotBlockOnAFullSocketAndCountsTheLines) {
  std::array<int, 2> ends{};
  ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM, 0, ends.data()), 0);
  net::Log log;
  const std::string text(4000, 'x');

  {
    const RedirectedStderr to_socket(dup(ends[1]));
    for (int i = 0; i < 400; ++i) log.write(net::Topic::error, "{}", text);
  }

  EXPECT_GT(log.lost_lines(), 0u);
  close(ends[0]);
  close(ends[1]);
}

TEST(Log, RelayServesClientsWhileTheLogCannotBeWritten) {
  const RedirectedStderr full(open("/dev/full", O_WRONLY));
  LoopbackRelay relay(1);

  relay.establish_session("1").client.close();
  relay.run_for(50);

  relay.establish_session("2");
}

}  // namespace
}  // namespace cherryrail::testing
