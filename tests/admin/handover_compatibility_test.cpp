// A hot restart joins two builds, so the form of what passes between them and of what is stored has to stay.
// The bytes below were recorded from the build of commit 76f3472: its writer sent them, its file was on the
// disk.
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <ostream>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "admin/disabled_backends.hpp"
#include "admin/hot_restart.hpp"

namespace cherryrail::testing {
namespace {

// A message as it stands on the socket between the two processes.
struct WireMessage {
  std::string hex;
  std::size_t descriptors = 0;
  bool operator==(const WireMessage&) const = default;
};

std::ostream& operator<<(std::ostream& out, const WireMessage& message) {
  return out << message.descriptors << " descriptors, " << message.hex;
}

const WireMessage kClientThatAskedNothing{
    "a4676261636b656e644065626567756e40646865616440667761697465641a0012d687", 1};
const WireMessage kClientWithHalfALine{
    "a4676261636b656e644065626567756e4e4f50454e2035203520633d7461ff646865616440667761697465641a0003d090", 1};
const WireMessage kOpenSession{
    "a4676261636b656e6443732d3165626567756e406468656164564f50454e2039203920633d74616c6b2c643d313230306677"
    "616974656400",
    2};
const WireMessage kOpenSessionThatWaits{
    "a4676261636b656e6443732d3165626567756e406468656164564f50454e2039203920633d74616c6b2c643d313230306677"
    "61697465641a0016e360",
    2};
const WireMessage kOpenSessionThatWaitsSeventySeconds{
    "a4676261636b656e6443732d3165626567756e406468656164564f50454e2039203920633d74616c6b2c643d313230306677"
    "61697465641a042c1d80",
    2};
const WireMessage kStateOfThreeBackends{
    "a5676261636b656e644065626567756e40646865616440666d656d6f7279a7686261636b656e6473838c1bffffffffffffff"
    "ff1b000628434244f8041b000628434244f8051b000628434244f806fb3fb999999999999afb7e37e43c8800759cfa408800"
    "00f5f4f520098c193039070800fac0300000fa42200000fa00000000f4f5f403008c1902a6000000fa00000000fb3fd33333"
    "33333333fb3ffb333333333333f4f4f4000164626f726e1b000628434244f8016766757274686572fb4008cccccccccccd6b"
    "6e65775f636c69656e747308657075727365fa402000006e73747261696e65645f756e74696c1b0006284345d87f036a7475"
    "726e735f66726f6d1b000628434244f8026677616974656400",
    0};
// As builds from before the key "further" wrote it: the same writer, without that key.
const WireMessage kStateWithoutRetries{
    "a5676261636b656e644065626567756e40646865616440666d656d6f7279a6686261636b656e64738064626f726e056b6e65"
    "775f636c69656e747308657075727365fa402000006e73747261696e65645f756e74696c076a7475726e735f66726f6d0666"
    "77616974656400",
    0};
constexpr std::string_view kDisabledBackendsFile = "{\"bans\":[\"a\xc3\xa9\\\"b\",\"s-0\",\"s-1\"]}\n";

StateSnapshot state_of_three_backends() {
  return {1733119200000001,
          1733119200000002,
          1733119260000003,
          8,
          2.5,
          3.1,
          {{0xffffffffffffffffULL, 1733119200000004, 1733119200000005, 1733119200000006, 0.1, 1e300, 4.25,
            true, false, true, -1, 9},
           {12345, 7, 8, 0, -2.75, 40, 0, false, true, false, 3, 0},
           {678, 0, 0, 0, 0, 0.3, 1.7, false, false, false, 0, 1}}};
}

void expect_equal(const StateSnapshot& actual, const StateSnapshot& expected) {
  EXPECT_EQ(actual.balancer_started_at, expected.balancer_started_at);
  EXPECT_EQ(actual.admission_slots_from, expected.admission_slots_from);
  EXPECT_EQ(actual.general_overload_until, expected.general_overload_until);
  EXPECT_EQ(actual.new_sessions, expected.new_sessions);
  EXPECT_EQ(actual.health_check_tokens, expected.health_check_tokens);
  EXPECT_EQ(actual.recent_retries, expected.recent_retries);
  ASSERT_EQ(actual.backends.size(), expected.backends.size());
  for (std::size_t i = 0; i < actual.backends.size(); ++i) {
    const auto& found = actual.backends[i];
    const auto& wanted = expected.backends[i];
    EXPECT_EQ(found.name, wanted.name);
    EXPECT_EQ(found.started_at, wanted.started_at);
    EXPECT_EQ(found.reported_started_at, wanted.reported_started_at);
    EXPECT_EQ(found.capacity_reduced_at, wanted.capacity_reduced_at);
    EXPECT_EQ(found.failure_log_odds, wanted.failure_log_odds);
    EXPECT_EQ(found.capacity_limit, wanted.capacity_limit);
    EXPECT_EQ(found.load_at_overload, wanted.load_at_overload);
    EXPECT_EQ(found.is_ejected, wanted.is_ejected);
    EXPECT_EQ(found.is_unresponsive, wanted.is_unresponsive);
    EXPECT_EQ(found.is_capacity_inferred, wanted.is_capacity_inferred);
    EXPECT_EQ(found.admission_slot, wanted.admission_slot);
    EXPECT_EQ(found.admitted_in_slot, wanted.admitted_in_slot);
  }
}

// The two processes' ends of the socket between them.
struct Channel {
  net::FileDescriptor sender;
  net::FileDescriptor receiver;

  Channel() {
    std::array<int, 2> ends{-1, -1};
    EXPECT_EQ(socketpair(AF_UNIX, SOCK_SEQPACKET, 0, ends.data()), 0);
    sender = net::FileDescriptor(ends[0]);
    receiver = net::FileDescriptor(ends[1]);
  }
};

constexpr std::size_t kRoomForDescriptors = CMSG_SPACE(4 * sizeof(int));

// What the writer of this build puts on the socket.
WireMessage written(const proxy::HandoverMessage& message) {
  const Channel channel;
  EXPECT_EQ(admin::give(channel.sender, message), admin::Gave::yes);
  std::vector<unsigned char> bytes(65536);
  alignas(cmsghdr) std::array<char, kRoomForDescriptors> control{};
  iovec part{bytes.data(), bytes.size()};
  msghdr header{};
  header.msg_iov = &part;
  header.msg_iovlen = 1;
  header.msg_control = control.data();
  header.msg_controllen = control.size();
  const ssize_t size = recvmsg(channel.receiver.get(), &header, MSG_DONTWAIT);
  WireMessage wire;
  for (ssize_t i = 0; i < size; ++i) wire.hex += fmt::format("{:02x}", bytes[static_cast<std::size_t>(i)]);
  if (const cmsghdr* attached = CMSG_FIRSTHDR(&header)) {
    wire.descriptors = (attached->cmsg_len - CMSG_LEN(0)) / sizeof(int);
    std::array<int, 4> received{-1, -1, -1, -1};
    std::copy_n(CMSG_DATA(attached), attached->cmsg_len - CMSG_LEN(0),
                reinterpret_cast<unsigned char*>(received.data()));
    for (std::size_t i = 0; i < wire.descriptors; ++i) close(received.at(i));
  }
  return wire;
}

void put_on_socket(const net::FileDescriptor& sender, const WireMessage& wire) {
  std::string bytes;
  for (std::size_t at = 0; at < wire.hex.size(); at += 2)
    bytes += static_cast<char>(std::stoi(wire.hex.substr(at, 2), nullptr, 16));
  const std::vector<int> descriptors(wire.descriptors, STDIN_FILENO);
  alignas(cmsghdr) std::array<char, kRoomForDescriptors> control{};
  iovec part{bytes.data(), bytes.size()};
  msghdr header{};
  header.msg_iov = &part;
  header.msg_iovlen = 1;
  if (!descriptors.empty()) {
    const std::size_t size = descriptors.size() * sizeof(int);
    header.msg_control = control.data();
    header.msg_controllen = CMSG_SPACE(size);
    cmsghdr* attached = CMSG_FIRSTHDR(&header);
    attached->cmsg_level = SOL_SOCKET;
    attached->cmsg_type = SCM_RIGHTS;
    attached->cmsg_len = CMSG_LEN(size);
    std::copy_n(reinterpret_cast<const unsigned char*>(descriptors.data()), size, CMSG_DATA(attached));
  }
  EXPECT_EQ(sendmsg(sender.get(), &header, 0), static_cast<ssize_t>(bytes.size()));
}

// What the reader of this build makes of it.
proxy::HandoverMessage read(const WireMessage& wire) {
  const Channel channel;
  put_on_socket(channel.sender, wire);
  bool is_over = true;
  auto message = admin::taken(channel.receiver, is_over);
  EXPECT_TRUE(message);
  EXPECT_FALSE(is_over);
  return message.value_or(proxy::HandoverMessage{});
}

// Descriptors that are open for as long as a test needs them, to be sent along.
struct Sockets {
  net::FileDescriptor client{dup(STDIN_FILENO)};
  net::FileDescriptor server{dup(STDIN_FILENO)};
};

void expect_pending_client(const WireMessage& wire, std::string_view received, Micros waited) {
  const proxy::HandoverMessage message = read(wire);
  const net::FileDescriptor client(message.client);
  EXPECT_TRUE(client);
  EXPECT_EQ(message.server, -1);
  EXPECT_FALSE(message.memory);
  EXPECT_EQ(message.head, "");
  EXPECT_EQ(message.backend, "");
  EXPECT_EQ(message.begun, received);
  EXPECT_EQ(message.waited, waited);
}

void expect_open_session(const WireMessage& wire, Micros waited) {
  const proxy::HandoverMessage message = read(wire);
  const net::FileDescriptor client(message.client);
  const net::FileDescriptor server(message.server);
  EXPECT_TRUE(client);
  EXPECT_TRUE(server);
  EXPECT_FALSE(message.memory);
  EXPECT_EQ(message.begun, "");
  EXPECT_EQ(message.head, "OPEN 9 9 c=talk,d=1200");
  EXPECT_EQ(message.backend, "s-1");
  EXPECT_EQ(message.waited, waited);
}

WireMessage written_pending_client(const std::string& received, Micros waited) {
  const Sockets sockets;
  proxy::HandoverMessage message;
  message.begun = received;
  message.waited = waited;
  message.client = sockets.client.get();
  return written(message);
}

WireMessage written_open_session(Micros waited) {
  const Sockets sockets;
  proxy::HandoverMessage message;
  message.head = "OPEN 9 9 c=talk,d=1200";
  message.backend = "s-1";
  message.waited = waited;
  message.client = sockets.client.get();
  message.server = sockets.server.get();
  return written(message);
}

WireMessage written_state(const StateSnapshot& state) {
  proxy::HandoverMessage message;
  message.memory = state;
  return written(message);
}

StateSnapshot read_state(const WireMessage& wire) {
  const proxy::HandoverMessage message = read(wire);
  EXPECT_TRUE(message.memory);
  EXPECT_EQ(message.client, -1);
  EXPECT_EQ(message.server, -1);
  return message.memory.value_or(StateSnapshot{});
}

TEST(HandoverCompatibility, ReadsAClientThatAskedNothingFromTheOldBuild) {
  expect_pending_client(kClientThatAskedNothing, "", 1'234'567);
}

TEST(HandoverCompatibility, ReadsAClientWithHalfALineFromTheOldBuild) {
  expect_pending_client(kClientWithHalfALine, "OPEN 5 5 c=ta\xff", 250'000);
}

TEST(HandoverCompatibility, ReadsAnOpenSessionFromTheOldBuild) {
  expect_open_session(kOpenSession, 0);
  expect_open_session(kOpenSessionThatWaits, 1'500'000);
}

TEST(HandoverCompatibility, CutsAWaitThatCannotBeTrueToOneMinute) {
  expect_open_session(kOpenSessionThatWaitsSeventySeconds, 60'000'000);
}

TEST(HandoverCompatibility, ReadsTheStateFromTheOldBuild) {
  expect_equal(read_state(kStateOfThreeBackends), state_of_three_backends());
}

TEST(HandoverCompatibility, ReadsAStateThatNamesNoRetries) {
  expect_equal(read_state(kStateWithoutRetries), {5, 6, 7, 8, 2.5, 0, {}});
}

TEST(HandoverCompatibility, WritesAPendingClientAsTheOldBuildDid) {
  EXPECT_EQ(written_pending_client("", 1'234'567), kClientThatAskedNothing);
  EXPECT_EQ(written_pending_client("OPEN 5 5 c=ta\xff", 250'000), kClientWithHalfALine);
}

TEST(HandoverCompatibility, WritesAnOpenSessionAsTheOldBuildDid) {
  EXPECT_EQ(written_open_session(0), kOpenSession);
  EXPECT_EQ(written_open_session(1'500'000), kOpenSessionThatWaits);
}

TEST(HandoverCompatibility, WritesTheStateAsTheOldBuildDid) {
  EXPECT_EQ(written_state(state_of_three_backends()), kStateOfThreeBackends);
}

// A folder of its own, removed at the end.
struct TemporaryFolder {
  std::string path = ::testing::TempDir() + "cherryrail-XXXXXX";
  TemporaryFolder() { EXPECT_NE(mkdtemp(path.data()), nullptr); }
  ~TemporaryFolder() { std::filesystem::remove_all(path); }
};

TEST(HandoverCompatibility, ReadsDisabledBackendsThatTheOldBuildStored) {
  const TemporaryFolder folder;
  std::ofstream(folder.path + "/cherryrail-n.bans") << kDisabledBackendsFile;
  const admin::DisabledBackends disabled(folder.path + "/cherryrail-n.bans");
  EXPECT_EQ(disabled.names(), (std::set<std::string>{"a\xc3\xa9\"b", "s-0", "s-1"}));
}

TEST(HandoverCompatibility, StoresDisabledBackendsAsTheOldBuildDid) {
  const TemporaryFolder folder;
  const std::string path = folder.path + "/cherryrail-n.bans";
  admin::DisabledBackends disabled(path);
  for (const char* name : {"s-1", "a\xc3\xa9\"b", "s-0"}) EXPECT_TRUE(disabled.change(name, true));
  std::ifstream file(path);
  EXPECT_EQ(std::string(std::istreambuf_iterator<char>(file), {}), kDisabledBackendsFile);
  EXPECT_TRUE(std::filesystem::exists(path + ".lock"));
  EXPECT_FALSE(std::filesystem::exists(path + ".new"));
}

}  // namespace
}  // namespace cherryrail::testing
