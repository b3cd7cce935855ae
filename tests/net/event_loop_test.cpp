#include "net/event_loop.hpp"

#include <gtest/gtest.h>

#include <cerrno>
#include <csignal>
#include <filesystem>
#include <iterator>

#include "support/fault_plan.hpp"
#include "support/loopback_relay.hpp"

namespace cherryrail::testing {
namespace {

// With a second thread, a process that is stopped while that thread holds a lock would hang forever.
TEST(EventLoop, HandlesSignalsWithoutASecondThread) {
  LoopbackRelay relay(1);
  int terminations = 0;
  int reloads = 0;
  relay.event_loop.on_terminate([&] { ++terminations; });
  relay.event_loop.on_reload([&] { ++reloads; });

  for (const int signal : {SIGTERM, SIGHUP, SIGINT}) std::raise(signal);

  EXPECT_TRUE(relay.run_until([&] { return terminations == 2 && reloads == 1; }))
      << terminations << " terminations, " << reloads << " reloads";
  const auto threads = std::filesystem::directory_iterator("/proc/self/task");
  EXPECT_EQ(std::distance(begin(threads), end(threads)), 1);
}

TEST(EventLoop, RetriesWatchingASocketAfterEpollCtlFails) {
  for (const int error : {ENOMEM, ENOSPC}) {
    const FaultPlanScope scope;
    LoopbackRelay relay(1);
    relay.accept_watch();

    fault_plan().watch.error_number = error;
    fault_plan().watch.remaining = 4;  // the client's connection, then its backend's
    const EstablishedSession session = relay.establish_session("1");

    EXPECT_EQ(fault_plan().watch.remaining, 0);
    EXPECT_TRUE(session.upstream) << error;
  }
}

}  // namespace
}  // namespace cherryrail::testing
