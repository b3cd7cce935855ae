// Backends that an operator has disabled: their traffic, and how the set is stored.
#include "admin/disabled_backends.hpp"

#include <gtest/gtest.h>

#include <cerrno>
#include <filesystem>
#include <fstream>
#include <optional>
#include <set>
#include <string>

#include "support/admin_relay.hpp"
#include "support/fault_plan.hpp"

namespace cherryrail::testing {
namespace {

// The endpoint list does not show that a backend is disabled: it continues to report the backend as ready.
TEST(DisabledBackends, DisabledBackendLosesItsSessionsAndGetsNoneUntilItIsEnabled) {
  AdminRelay relay(2);
  auto session = relay.establish_session("1");
  const std::size_t disabled = relay.backend_index(session.upstream);

  EXPECT_EQ(relay.change_backend("disable", backend_uid(disabled)), "HTTP/1.1 200");
  EXPECT_EQ(relay.change_backend("disable", backend_uid(disabled)), "HTTP/1.1 200");
  EXPECT_TRUE(relay.run_until([&] { return session.client.received() == "UP r\r\nMOVE\r\n"; }));

  relay.publish_endpoints(endpoint_snapshot(5, {relay.endpoint(1 - disabled, "active")}));
  relay.publish_endpoints(endpoint_snapshot(6, {relay.endpoint(0, "active"), relay.endpoint(1, "active")}));
  for (int i = 2; i < 12; ++i) {
    const auto other = relay.establish_session(std::to_string(i));
    EXPECT_EQ(relay.backend_index(other.upstream), 1 - disabled);
  }

  // One request to enable the backend reverts both requests to disable it.
  EXPECT_EQ(relay.change_backend("enable", backend_uid(disabled)), "HTTP/1.1 200");
  int session_id = 100;
  EXPECT_TRUE(relay.run_until(
      [&] {
        const auto other = relay.establish_session(std::to_string(++session_id));
        return relay.backend_index(other.upstream) == disabled;
      },
      5000));
}

TEST(DisabledBackends, StayDisabledInTheNextProcess) {
  AdminRelay relay(2);
  EXPECT_EQ(relay.change_backend("disable", "s-1"), "HTTP/1.1 200");

  config::RelayConfig next_config = relay.relay_config;
  next_config.admin = "127.0.0.1:" + std::to_string(TestSocket::listening().port());
  next_config.admin_address = net::parse_address(next_config.admin);
  const admin::AdminServices next(relay.event_loop, *relay.proxy, next_config);

  for (int i = 0; i < 6; ++i)
    EXPECT_EQ(relay.backend_index(relay.establish_session(std::to_string(i)).upstream), 0u);
}

TEST(DisabledBackends, DamagedFileIsReportedAndReplacedByTheNextChange) {
  AdminRelay relay(2);
  EXPECT_EQ(relay.change_backend("disable", "s-1"), "HTTP/1.1 200");
  const std::string file = relay.folder.file("cherryrail-n.bans");
  ASSERT_TRUE(std::filesystem::exists(file));
  admin::DisabledBackends other_process(file);
  EXPECT_TRUE(other_process.uids().contains("s-1"));

  std::ofstream(file) << "{\"bans\":[7";
  EXPECT_FALSE(other_process.reload_if_changed());
  EXPECT_NE(other_process.error().value().message().find("damaged"), std::string::npos);
  EXPECT_TRUE(other_process.uids().contains("s-1"));  // the known set stays in force

  EXPECT_TRUE(other_process.set_disabled("s-0", true));
  EXPECT_EQ(admin::DisabledBackends(file).uids(), (std::set<std::string>{"s-0", "s-1"}));
}

// Operators may send requests to either process; neither may lose a change made by the other.
TEST(DisabledBackends, TwoProcessesShareOneSet) {
  const TemporaryFolder folder;
  admin::DisabledBackends first(folder.file("b"));
  admin::DisabledBackends second(folder.file("b"));

  EXPECT_TRUE(first.set_disabled("x", true));
  EXPECT_TRUE(second.set_disabled("y", true));
  EXPECT_TRUE(first.reload_if_changed());
  EXPECT_EQ(first.uids(), (std::set<std::string>{"x", "y"}));

  EXPECT_TRUE(first.set_disabled("x", false));
  EXPECT_TRUE(second.reload_if_changed());
  EXPECT_EQ(second.uids(), std::set<std::string>{"y"});
  EXPECT_FALSE(second.reload_if_changed());  // unchanged
}

TEST(DisabledBackends, ChangeThatCannotBeStoredAppliesInThisProcess) {
  admin::DisabledBackends disabled("/nonexistent/b");

  EXPECT_FALSE(disabled.set_disabled("x", true));

  EXPECT_TRUE(disabled.uids().contains("x"));
}

// The operator's request has succeeded, so the change must reach the next process, which has only the file.
TEST(DisabledBackends, RetriesToStoreAChangeAfterAWriteError) {
  for (const int error : {ENOSPC, EIO}) {
    const FaultPlanScope scope;
    AdminRelay relay(2);
    fault_plan().storage.error_number = error;
    fault_plan().storage.per_mille = 1000;
    EXPECT_EQ(relay.change_backend("disable", "s-1"), "HTTP/1.1 200");

    fault_plan().storage.error_number = 0;
    relay.run_for(400);

    const admin::DisabledBackends next_process(relay.folder.file("cherryrail-n.bans"));
    EXPECT_TRUE(next_process.uids().contains("s-1")) << error;
  }
}

TEST(DisabledBackends, PendingChangeSurvivesAChangeByAnotherProcess) {
  const FaultPlanScope scope;
  const TemporaryFolder folder;
  admin::DisabledBackends first(folder.file("b"));
  admin::DisabledBackends second(folder.file("b"));
  fault_plan().storage.error_number = ENOSPC;
  fault_plan().storage.per_mille = 1000;
  EXPECT_FALSE(first.set_disabled("x", true));

  fault_plan().storage.error_number = 0;
  EXPECT_TRUE(second.set_disabled("y", true));
  first.reload_if_changed();

  EXPECT_EQ(first.uids(), (std::set<std::string>{"x", "y"}));
}

// Otherwise, a process that starts while no descriptor is available would enable every backend again.
TEST(DisabledBackends, ReadsAFileThatCouldNotBeReadAtTheStart) {
#ifdef __SANITIZE_ADDRESS__
  GTEST_SKIP() << "the sanitizers need descriptors for their own checks and end the process without them";
#endif
  const TemporaryFolder folder;
  EXPECT_TRUE(admin::DisabledBackends(folder.file("b")).set_disabled("x", true));

  std::optional<admin::DisabledBackends> next_process;
  {
    const NoDescriptorsLeft none_left;
    next_process.emplace(folder.file("b"));
  }
  EXPECT_TRUE(next_process->reload_if_changed());

  EXPECT_EQ(next_process->uids(), std::set<std::string>{"x"});
}

}  // namespace
}  // namespace cherryrail::testing
