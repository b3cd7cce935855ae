// The log where nobody takes it: what it is for must not be harmed by it.
#include "net/log.hpp"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <string>

#include "support/loopback_relay.hpp"
#include "support/redirected_stderr.hpp"

namespace cherryrail::testing {
namespace {

TEST(Log, AFullDiskUnderItThrowsNothing) {
  net::Log log;
  const RedirectedStderr full(open("/dev/full", O_WRONLY));

  EXPECT_NO_THROW(log.write(net::Topic::error, "nobody can read this"));
}

TEST(Log, ClientsAreServedWhileItCannotBeWritten) {
  const RedirectedStderr full(open("/dev/full", O_WRONLY));
  LoopbackRelay relay(1);

  relay.establish_session("1").client.close();
  relay.run_for(50);

  relay.establish_session("2");
}

}  // namespace
}  // namespace cherryrail::testing
