// What a process has been told of its backends reaches the process that takes its place, whatever fails.
#include <gtest/gtest.h>

#include <cerrno>
#include <cstddef>
#include <filesystem>
#include <string>

#include "support/fault_plan.hpp"
#include "support/restarting_relay.hpp"

namespace cherryrail::testing {
namespace {

constexpr std::size_t kDraining = 0;  // the backend that drains
constexpr int kSessions = 8;
constexpr const char* kEndpointsFile = "cherryrail-n.endpoints";

// Sends a list to the first process.
void tell_first(RestartingRelay& relay, const std::string& list) {
  relay.watches[0].send(http_chunk(list + "\n"));
  relay.run_for(20);
}

void expect_no_session_at(RestartingRelay& relay, std::size_t index) {
  for (int i = 0; i < kSessions; ++i) {
    const auto session = relay.establish_session(std::to_string(i));
    EXPECT_NE(relay.backend_index(session.upstream), index) << i;
  }
}

// Guards against a successor that sends new sessions to a backend whose drain only its predecessor has heard
// of (review/8).
TEST(EndpointHandover, ASuccessorWithoutDiscoveryKnowsWhichBackendDrains) {
  RestartingRelay relay(3);
  tell_first(relay, endpoint_changes(6, {relay.endpoint(kDraining, "leaving")}));

  relay.second = relay.start_without_discovery();
  relay.first->admin_services->shut_down();

  expect_no_session_at(relay, kDraining);
}

// The state directory cannot be written, and the socket between the processes is full at first.
TEST(EndpointHandover, TheListReachesTheSuccessorWhileWritesFail) {
  const FaultPlanScope scope;
  fault_plan().storage.error_number = ENOSPC;
  fault_plan().storage.per_mille = 1000;
  RestartingRelay relay(3, true);
  tell_first(relay, endpoint_changes(6, {relay.endpoint(kDraining, "leaving")}));
  ASSERT_FALSE(std::filesystem::exists(relay.folder.file(kEndpointsFile)));
  TestSocket admin_client = TestSocket::connected_to(relay.admin_ports[0]);
  admin_client.send("GET /stats HTTP/1.1\r\nHost: x\r\n\r\n");
  EXPECT_TRUE(relay.run_until(
      [&] { return admin_client.received().find(R"("endpoint_list_not_stored":1)") != std::string::npos; }));

  fault_plan().hand_over.error_number = EAGAIN;
  fault_plan().hand_over.remaining = 3;
  relay.second = relay.start_without_discovery();
  relay.first->admin_services->shut_down();
  relay.run_for(60);

  expect_no_session_at(relay, kDraining);
}

TEST(EndpointHandover, TheListOfAKilledProcessReachesTheNextOne) {
  RestartingRelay relay(3);
  tell_first(relay, endpoint_changes(6, {relay.endpoint(kDraining, "leaving")}));
  relay.kill(*relay.first);

  relay.second = relay.start_without_discovery();

  expect_no_session_at(relay, kDraining);
}

// The disk is full when the change comes, and has room again a second later.
TEST(EndpointHandover, AListThatCouldNotBeStoredIsStoredLater) {
  const FaultPlanScope scope;
  RestartingRelay relay(3);
  fault_plan().storage.error_number = ENOSPC;
  fault_plan().storage.per_mille = 1000;
  tell_first(relay, endpoint_changes(6, {relay.endpoint(kDraining, "leaving")}));
  relay.run_for(1200);
  fault_plan().storage.per_mille = 0;
  relay.run_for(1200);
  relay.kill(*relay.first);

  relay.second = relay.start_without_discovery();

  expect_no_session_at(relay, kDraining);
}

// The successor has connected to its predecessor already when that hears of the drain.
TEST(EndpointHandover, AChangeWhileBothProcessesServeReachesTheSuccessor) {
  RestartingRelay relay(3);
  relay.second = relay.start_without_discovery();

  tell_first(relay, endpoint_changes(6, {relay.endpoint(kDraining, "leaving")}));
  relay.kill(*relay.first);

  expect_no_session_at(relay, kDraining);
}

// The backends of the configuration have all been replaced since it was written.
TEST(EndpointHandover, ASuccessorServesWithBackendsThatItsConfigurationDoesNotName) {
  RestartingRelay relay(1);
  const std::string uid = R"("uid":"s-0")";
  std::string replacement = relay.endpoint(0, "active");
  replacement.replace(replacement.find(uid), uid.size(), R"("uid":"s-new")");
  tell_first(relay, endpoint_snapshot(6, {replacement}));
  relay.relay_config.known_endpoints.entries[0].address = "127.0.0.1:1";

  relay.second = relay.start_without_discovery();
  relay.first->admin_services->shut_down();

  for (int i = 0; i < kSessions; ++i) relay.establish_session(std::to_string(i));
}

// Discovery has restarted its version counter since the configuration was written.
TEST(EndpointHandover, AListOfARestartedVersionCounterIsNewerThanTheConfiguration) {
  RestartingRelay relay(3);
  const std::string list = endpoint_snapshot(
      2, {relay.endpoint(0, "leaving"), relay.endpoint(1, "active"), relay.endpoint(2, "active")});
  tell_first(relay, list);
  relay.run_for(1600);
  relay.accept_watch();
  relay.publish_endpoints(list);
  relay.run_for(20);

  relay.second = relay.start_without_discovery();
  relay.first->admin_services->shut_down();

  expect_no_session_at(relay, kDraining);
}

TEST(EndpointHandover, ANewerConfigurationCountsBeforeAnEarlierProcess) {
  RestartingRelay relay(2);
  tell_first(relay, endpoint_changes(6, {relay.endpoint(0, "leaving")}));
  relay.kill(*relay.first);
  relay.relay_config.known_endpoints.version = 7;
  relay.relay_config.known_endpoints.entries[1].state = EndpointState::draining;

  relay.second = relay.start_without_discovery();

  expect_no_session_at(relay, 1);
}

// Guards against an error of the disk at the start that loses what the process before was told.
TEST(EndpointHandover, AFileThatCannotBeReadAtTheStartIsReadLater) {
  RestartingRelay relay(3);
  tell_first(relay, endpoint_changes(6, {relay.endpoint(kDraining, "leaving")}));
  relay.kill(*relay.first);
  const std::string path = relay.folder.file(kEndpointsFile);
  std::filesystem::rename(path, path + ".kept");
  std::filesystem::create_symlink(path, path);  // a loop

  relay.second = relay.start_without_discovery();
  std::filesystem::remove(path);
  std::filesystem::rename(path + ".kept", path);
  relay.run_for(100);

  expect_no_session_at(relay, kDraining);
}

// A kill or a full disk may leave a file that is incomplete.
TEST(EndpointHandover, ADamagedFileIsRefusedAndReplaced) {
  RestartingRelay relay(2);
  tell_first(relay, endpoint_changes(6, {relay.endpoint(kDraining, "leaving")}));
  relay.kill(*relay.first);
  const std::string path = relay.folder.file(kEndpointsFile);
  std::filesystem::resize_file(path, std::filesystem::file_size(path) / 2);

  ::testing::internal::CaptureStderr();
  relay.second = relay.start_without_discovery();
  const std::string log = ::testing::internal::GetCapturedStderr();

  EXPECT_NE(log.find("endpoint list of another process refused"), std::string::npos) << log;
  relay.establish_session("1");
  relay.publish_endpoints(endpoint_changes(7, {}));
  relay.run_for(50);
  relay.kill(*relay.second);

  const auto third = relay.start_without_discovery();
  EXPECT_EQ(third->proxy.endpoint_list_version(), 7);
}

// Guards against a refused file that makes the intact list of the predecessor count as known already.
TEST(EndpointHandover, TheListOfThePredecessorCountsIfItsFileIsDamaged) {
  RestartingRelay relay(3);
  tell_first(relay, endpoint_changes(6, {relay.endpoint(kDraining, "leaving")}));
  const std::string path = relay.folder.file(kEndpointsFile);
  std::filesystem::resize_file(path, std::filesystem::file_size(path) - 1);

  relay.second = relay.start_without_discovery();
  relay.first->admin_services->shut_down();

  expect_no_session_at(relay, kDraining);
}

}  // namespace
}  // namespace cherryrail::testing
