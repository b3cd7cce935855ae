// The log when standard error accepts no lines: logging must not throw, block or disturb the relay.
#include "net/log.hpp"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <array>
#include <string>

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

TEST(Log, RelayServesClientsWhileTheLogCannotBeWritten) {
  const RedirectedStderr full(open("/dev/full", O_WRONLY));
  LoopbackRelay relay(1);

  relay.establish_session("1").client.close();
  relay.run_for(50);

  relay.establish_session("2");
}

}  // namespace
}  // namespace cherryrail::testing
