// Hot restart: how two processes of one relay find each other, and the messages between them.
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "admin/handover_channel.hpp"
#include "admin/hot_restart_coordinator.hpp"
#include "admin/hot_restart_socket.hpp"
#include "admin/session_id_announcer.hpp"
#include "support/admin_relay.hpp"
#include "support/fault_plan.hpp"
#include "support/restarting_relay.hpp"
#include "support/temporary_folder.hpp"

namespace cherryrail::testing {
namespace {

TEST(HotRestart, FindsNoSuccessorWithoutAFolder) {
  admin::HotRestartSocket process("", "n");

  EXPECT_FALSE(process.announce());
  EXPECT_FALSE(process.connect_to_successor());
}

TEST(HotRestart, LastAnnouncedProcessIsTheSuccessor) {
  const TemporaryFolder folder;
  admin::HotRestartSocket first(folder.path(), "n");
  EXPECT_TRUE(first.announce());
  EXPECT_FALSE(first.connect_to_successor());

  {
    admin::HotRestartSocket second(folder.path(), "n");
    EXPECT_FALSE(first.connect_to_successor());  // the second process is not announced yet
    EXPECT_TRUE(second.announce());
    EXPECT_TRUE(first.connect_to_successor());
    EXPECT_FALSE(second.connect_to_successor());
  }

  EXPECT_FALSE(first.connect_to_successor());  // the second process has ended
}

// Runs a successor in a child process: reports whether it has connected to its predecessor, and holds many
// descriptors until it is signalled to exit.
[[noreturn]] void hold_descriptors(const std::string& folder, int ready, int exit_signal) {
  admin::HotRestartSocket next(folder, "cherryrail-n.serves");
  const auto predecessor = next.connect_to_successor();
  while (admin::count_open_descriptors(getpid()) < 480) {
    if (dup(0) < 0) break;
  }
  char byte = predecessor ? 'y' : 'n';
  const bool is_done = write(ready, &byte, 1) == 1 && read(exit_signal, &byte, 1) == 1;
  _exit(is_done ? 0 : 1);
}

TEST(HotRestart, DescriptorsOfTheSuccessorCountTowardsTheLimit) {
  RestartingRelay relay(1);
  std::array<int, 2> ready{};
  std::array<int, 2> exit_signal{};
  ASSERT_EQ(pipe(ready.data()) + pipe(exit_signal.data()), 0);
  const pid_t child = fork();
  if (child == 0) hold_descriptors(relay.folder.path(), ready[1], exit_signal[0]);
  char answer = 0;
  ASSERT_EQ(read(ready[0], &answer, 1), 1);
  EXPECT_EQ(answer, 'y');

  relay.run_for(150);
  TestSocket rejected = relay.connect_client("OPEN 1 1 c=talk,d=1200\r\n");
  EXPECT_TRUE(relay.run_until([&] { return rejected.is_ended_by_peer(); }));
  EXPECT_EQ(rejected.received(), "BUSY\r\n");

  EXPECT_EQ(write(exit_signal[1], "g", 1), 1);
  EXPECT_EQ(waitpid(child, nullptr, 0), child);
  relay.run_for(50);
  relay.establish_session("2");
  for (const int fd : {ready[0], ready[1], exit_signal[0], exit_signal[1]}) close(fd);
}

TEST(HotRestart, StateIsReceivedAsSentAndAMalformedMessageIsSkipped) {
  const TemporaryFolder folder;
  admin::HotRestartSocket first(folder.path(), "n");
  admin::HotRestartSocket second(folder.path(), "n");
  ASSERT_TRUE(second.announce());
  const auto sender = first.connect_to_successor();
  ASSERT_TRUE(sender);
  const admin::HandoverChannel receiver(net::FileDescriptor(accept(second.descriptor(), nullptr, nullptr)));
  proxy::OutgoingHandover handover;
  handover.message = StateSnapshot{
      5, 6, 7, 8, 2.5, 3, {{0xffffffffffffffffULL, 1, 2, 3, 0.5, 1e300, 4, true, false, true, -1, 9}}};

  EXPECT_EQ(sender->send(handover), admin::SendResult::sent);
  const admin::ReceiveResult received = receiver.receive();

  ASSERT_TRUE(received.handover);
  const auto* state = std::get_if<StateSnapshot>(&received.handover->message);
  ASSERT_TRUE(state && state->backends.size() == 1);
  EXPECT_EQ(state->new_sessions, 8u);
  const BackendSnapshot& backend = state->backends[0];
  EXPECT_EQ(backend.name, 0xffffffffffffffffULL);
  EXPECT_EQ(backend.capacity_limit, 1e300);
  EXPECT_EQ(backend.admission_slot, -1);
  EXPECT_EQ(backend.admitted_in_slot, 9u);
  EXPECT_TRUE(backend.is_ejected && backend.is_capacity_inferred && !backend.is_unresponsive);

  // A malformed message does not end the connection.
  EXPECT_EQ(send(sender->descriptor(), "rubbish", 7, 0), 7);
  const admin::ReceiveResult malformed = receiver.receive();
  EXPECT_FALSE(malformed.handover);
  EXPECT_FALSE(malformed.is_peer_gone);
}

// Writes to the disk fail during the whole restart, and the socket between the two processes is full at
// first.
TEST(HotRestart, BackendDisabledDuringWriteErrorsStaysDisabledInTheSuccessor) {
  const FaultPlanScope scope;
  RestartingRelay relay(2, true);
  fault_plan().storage.error_number = ENOSPC;
  fault_plan().storage.per_mille = 1000;
  TestSocket admin_client = TestSocket::connected_to(relay.admin_ports[0]);
  admin_client.send(http_post("/backends/disable", R"({"who":"s-1"})"));
  ASSERT_TRUE(relay.run_until([&] { return admin_client.received().starts_with("HTTP/1.1 200"); }));

  fault_plan().hand_over.error_number = EAGAIN;
  fault_plan().hand_over.remaining = 3;
  relay.replace();
  relay.run_for(150);

  for (int i = 0; i < 8; ++i)
    EXPECT_EQ(relay.backend_index(relay.establish_session(std::to_string(i)).upstream), 0u);
}

// More ids than the socket between the two processes holds at once.
TEST(HotRestart, AllClaimedIdsAreReceivedAsSent) {
  std::array<int, 2> ends{};
  ASSERT_EQ(socketpair(AF_UNIX, SOCK_SEQPACKET | SOCK_NONBLOCK, 0, ends.data()), 0);
  const admin::HandoverChannel sender{net::FileDescriptor(ends[0])};
  const admin::HandoverChannel receiver{net::FileDescriptor(ends[1])};
  std::vector<std::uint64_t> sent;
  for (std::uint64_t i = 0; i < 65'536; ++i) sent.push_back(~i);
  admin::SessionIdAnnouncer announcer;
  announcer.add(sent);

  std::vector<std::uint64_t> received;
  EXPECT_FALSE(announcer.flush(sender));
  for (int rounds = 0; received.size() < sent.size() && rounds < 100; ++rounds) {
    const admin::ReceiveResult result = receiver.receive();
    ASSERT_TRUE(result.handover);
    const auto& hashes = std::get<proxy::ClaimedSessionIds>(result.handover->message).hashes;
    received.insert(received.end(), hashes.begin(), hashes.end());
    announcer.flush(sender);
  }

  EXPECT_EQ(received, sent);
  EXPECT_TRUE(announcer.flush(sender));
}

// The state of 2,000 backends in one message: 170 KB.
TEST(HotRestart, LargeStateIsReceivedCompletely) {
  std::array<int, 2> ends{};
  ASSERT_EQ(socketpair(AF_UNIX, SOCK_SEQPACKET | SOCK_NONBLOCK, 0, ends.data()), 0);
  const admin::HandoverChannel sender{net::FileDescriptor(ends[0])};
  const admin::HandoverChannel receiver{net::FileDescriptor(ends[1])};
  StateSnapshot state;
  state.backends.resize(2000);
  for (BackendSnapshot& backend : state.backends) {
    backend.name = 0xffffffffffffffffULL;
    backend.started_at = 1733119200000001;
    backend.reported_started_at = 1733119200000001;
    backend.capacity_reduced_at = 1733119200000001;
    backend.failure_log_odds = 0.1;
    backend.capacity_limit = 0.1;
    backend.load_at_overload = 0.1;
  }

  EXPECT_EQ(sender.send({state}), admin::SendResult::sent);
  const admin::ReceiveResult received = receiver.receive();

  ASSERT_TRUE(received.handover);
  EXPECT_EQ(std::get<StateSnapshot>(received.handover->message).backends.size(), 2000u);
}

}  // namespace
}  // namespace cherryrail::testing
