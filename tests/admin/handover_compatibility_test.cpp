// A hot restart may involve two builds, so the encoding of handover messages and of stored files must not
// change. The bytes below were recorded from the build of commit 76f3472, from its messages and its file.
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
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "admin/disabled_backends.hpp"
#include "admin/handover_channel.hpp"

namespace cherryrail::testing {
namespace {

// A handover message as it is sent over the socket between the two processes.
struct WireMessage {
  std::string_view hex;
  std::size_t descriptors = 0;
};

std::string describe(std::string_view hex, std::size_t descriptors) {
  return fmt::format("{} descriptors, {}", descriptors, hex);
}

std::string describe(const WireMessage& message) { return describe(message.hex, message.descriptors); }

constexpr WireMessage kClientWithoutRequest{
    "a4676261636b656e644065626567756e40646865616440667761697465641a0012d687", 1};
constexpr WireMessage kClientWithIncompleteLine{
    "a4676261636b656e644065626567756e4e4f50454e2035203520633d7461ff646865616440667761697465641a0003d090", 1};
constexpr WireMessage kOpenSession{
    "a4676261636b656e6443732d3165626567756e406468656164564f50454e2039203920633d74616c6b2c643d313230306677"
    "616974656400",
    2};
constexpr WireMessage kWaitingOpenSession{
    "a4676261636b656e6443732d3165626567756e406468656164564f50454e2039203920633d74616c6b2c643d313230306677"
    "61697465641a0016e360",
    2};
constexpr WireMessage kOpenSessionWaitingSeventySeconds{
    "a4676261636b656e6443732d3165626567756e406468656164564f50454e2039203920633d74616c6b2c643d313230306677"
    "61697465641a042c1d80",
    2};
constexpr WireMessage kStateOfThreeBackends{
    "a5676261636b656e644065626567756e40646865616440666d656d6f7279a7686261636b656e6473838c1bffffffffffffff"
    "ff1b000628434244f8041b000628434244f8051b000628434244f806fb3fb999999999999afb7e37e43c8800759cfa408800"
    "00f5f4f520098c193039070800fac0300000fa42200000fa00000000f4f5f403008c1902a6000000fa00000000fb3fd33333"
    "33333333fb3ffb333333333333f4f4f4000164626f726e1b000628434244f8016766757274686572fb4008cccccccccccd6b"
    "6e65775f636c69656e747308657075727365fa402000006e73747261696e65645f756e74696c1b0006284345d87f036a7475"
    "726e735f66726f6d1b000628434244f8026677616974656400",
    0};
// A message of builds before the key "further" was added: from the same writer, without this key.
constexpr WireMessage kStateWithoutRetries{
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

// Each field in the shortest form that keeps different values distinct.
std::string describe(const proxy::DisabledBackendChanges& changes) {
  std::string text = "changes of disabled backends";
  for (const auto& [uid, is_disabled] : changes.is_disabled) text += fmt::format(", {} {}", uid, is_disabled);
  return text;
}

std::string describe(const StateSnapshot& state) {
  std::string text = fmt::format("{} {} {} {} {} {}", state.balancer_started_at, state.admission_slots_from,
                                 state.general_overload_until, state.new_sessions, state.health_check_tokens,
                                 state.recent_retries);
  for (const auto& backend : state.backends)
    text += fmt::format("; {} {} {} {} {} {} {} {} {} {} {} {}", backend.name, backend.started_at,
                        backend.reported_started_at, backend.capacity_reduced_at, backend.failure_log_odds,
                        backend.capacity_limit, backend.load_at_overload, backend.is_ejected,
                        backend.is_unresponsive, backend.is_capacity_inferred, backend.admission_slot,
                        backend.admitted_in_slot);
  return text;
}

std::string describe(const proxy::ClaimedSessionIds& ids) {
  std::string text = "claimed ids";
  for (const std::uint64_t hash : ids.hashes) text += fmt::format(" {}", hash);
  return text;
}

std::string describe(const proxy::EndpointSnapshotPart& part) {
  return fmt::format("part {} of {} of an endpoint snapshot: {}", part.index, part.count, part.bytes);
}

std::string describe(const proxy::PendingClient& client) {
  return fmt::format("pending client, waited {}: {}", client.waited, client.received);
}

std::string describe(const proxy::OpenSession& session) {
  return fmt::format("open session at {}, waited {}: {}", session.backend, session.waited,
                     session.open_request);
}

std::string describe(const proxy::IncomingHandover& handover) {
  const std::string message = std::visit([](const auto& kind) { return describe(kind); }, handover.message);
  return fmt::format("downstream {}, upstream {}, {}", static_cast<bool>(handover.downstream),
                     static_cast<bool>(handover.upstream), message);
}

// A connected pair of handover channels.
struct Channel {
  std::array<int, 2> ends = connected_pair();
  admin::HandoverChannel sender{net::FileDescriptor(ends[0])};
  admin::HandoverChannel receiver{net::FileDescriptor(ends[1])};

  static std::array<int, 2> connected_pair() {
    std::array<int, 2> ends{-1, -1};
    EXPECT_EQ(socketpair(AF_UNIX, SOCK_SEQPACKET, 0, ends.data()), 0);
    return ends;
  }
};

constexpr std::size_t kControlBufferBytes = CMSG_SPACE(4 * sizeof(int));

// Describes the message that this build sends.
std::string encode_and_describe(const proxy::OutgoingHandover& handover) {
  const Channel channel;
  EXPECT_EQ(channel.sender.send(handover), admin::SendResult::sent);
  std::vector<unsigned char> bytes(65536);
  alignas(cmsghdr) std::array<char, kControlBufferBytes> control{};
  iovec part{bytes.data(), bytes.size()};
  msghdr header{};
  header.msg_iov = &part;
  header.msg_iovlen = 1;
  header.msg_control = control.data();
  header.msg_controllen = control.size();
  const ssize_t size = recvmsg(channel.receiver.descriptor(), &header, MSG_DONTWAIT);
  std::string hex;
  std::size_t descriptors = 0;
  for (ssize_t i = 0; i < size; ++i) hex += fmt::format("{:02x}", bytes[static_cast<std::size_t>(i)]);
  if (const cmsghdr* attached = CMSG_FIRSTHDR(&header)) {
    descriptors = (attached->cmsg_len - CMSG_LEN(0)) / sizeof(int);
    std::array<int, 4> received{-1, -1, -1, -1};
    std::copy_n(CMSG_DATA(attached), attached->cmsg_len - CMSG_LEN(0),
                reinterpret_cast<unsigned char*>(received.data()));
    for (std::size_t i = 0; i < descriptors; ++i) close(received.at(i));
  }
  return describe(hex, descriptors);
}

void send_wire_message(int sender, const WireMessage& wire) {
  std::string bytes;
  for (std::size_t at = 0; at < wire.hex.size(); at += 2)
    bytes += static_cast<char>(std::stoi(std::string(wire.hex.substr(at, 2)), nullptr, 16));
  const std::vector<int> descriptors(wire.descriptors, STDIN_FILENO);
  alignas(cmsghdr) std::array<char, kControlBufferBytes> control{};
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
  EXPECT_EQ(sendmsg(sender, &header, 0), static_cast<ssize_t>(bytes.size()));
}

// Describes a message as this build decodes it.
std::string decode_and_describe(const WireMessage& wire) {
  const Channel channel;
  send_wire_message(channel.sender.descriptor(), wire);
  const admin::ReceiveResult result = channel.receiver.receive();
  EXPECT_FALSE(result.is_peer_gone);
  return result.handover ? describe(*result.handover) : "malformed";
}

// Descriptors to be sent with a message, kept open for the duration of a test.
struct Sockets {
  net::FileDescriptor client{dup(STDIN_FILENO)};
  net::FileDescriptor server{dup(STDIN_FILENO)};
};

std::string encode_pending_client(const std::string& received, Micros waited) {
  const Sockets sockets;
  return encode_and_describe({proxy::PendingClient{received, waited}, sockets.client.get()});
}

std::string encode_open_session(Micros waited) {
  const Sockets sockets;
  return encode_and_describe({proxy::OpenSession{"OPEN 9 9 c=talk,d=1200", "s-1", waited},
                              sockets.client.get(), sockets.server.get()});
}

std::string encode_state(const StateSnapshot& state) { return encode_and_describe({state}); }

TEST(HandoverCompatibility, ReadsAClientWithoutRequestFromTheOldBuild) {
  EXPECT_EQ(decode_and_describe(kClientWithoutRequest),
            "downstream true, upstream false, pending client, waited 1234567: ");
}

TEST(HandoverCompatibility, ReadsAClientWithAnIncompleteLineFromTheOldBuild) {
  EXPECT_EQ(decode_and_describe(kClientWithIncompleteLine),
            "downstream true, upstream false, pending client, waited 250000: OPEN 5 5 c=ta\xff");
}

TEST(HandoverCompatibility, ReadsAnOpenSessionFromTheOldBuild) {
  EXPECT_EQ(decode_and_describe(kOpenSession),
            "downstream true, upstream true, open session at s-1, waited 0: OPEN 9 9 c=talk,d=1200");
  EXPECT_EQ(decode_and_describe(kWaitingOpenSession),
            "downstream true, upstream true, open session at s-1, waited 1500000: OPEN 9 9 c=talk,d=1200");
}

TEST(HandoverCompatibility, ClampsAnImplausibleWaitToOneMinute) {
  EXPECT_EQ(decode_and_describe(kOpenSessionWaitingSeventySeconds),
            "downstream true, upstream true, open session at s-1, waited 60000000: OPEN 9 9 c=talk,d=1200");
}

TEST(HandoverCompatibility, ReadsTheStateFromTheOldBuild) {
  EXPECT_EQ(decode_and_describe(kStateOfThreeBackends),
            "downstream false, upstream false, " + describe(state_of_three_backends()));
}

TEST(HandoverCompatibility, ReadsAStateWithoutRetries) {
  const StateSnapshot expected{5, 6, 7, 8, 2.5, 0, {}};
  EXPECT_EQ(decode_and_describe(kStateWithoutRetries),
            "downstream false, upstream false, " + describe(expected));
}

TEST(HandoverCompatibility, WritesAPendingClientAsTheOldBuildDid) {
  EXPECT_EQ(encode_pending_client("", 1'234'567), describe(kClientWithoutRequest));
  EXPECT_EQ(encode_pending_client("OPEN 5 5 c=ta\xff", 250'000), describe(kClientWithIncompleteLine));
}

TEST(HandoverCompatibility, WritesAnOpenSessionAsTheOldBuildDid) {
  EXPECT_EQ(encode_open_session(0), describe(kOpenSession));
  EXPECT_EQ(encode_open_session(1'500'000), describe(kWaitingOpenSession));
}

TEST(HandoverCompatibility, WritesTheStateAsTheOldBuildDid) {
  EXPECT_EQ(encode_state(state_of_three_backends()), describe(kStateOfThreeBackends));
}

// A temporary folder, removed with its contents on destruction.
class TemporaryFolder {
 public:
  TemporaryFolder() { EXPECT_NE(mkdtemp(path_.data()), nullptr); }
  ~TemporaryFolder() { std::filesystem::remove_all(path_); }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  TemporaryFolder(TemporaryFolder&&) = delete;
  TemporaryFolder& operator=(TemporaryFolder&&) = delete;
  [[nodiscard]] std::string file(const char* name) const { return path_ + "/" + name; }

 private:
  std::string path_ = ::testing::TempDir() + "cherryrail-XXXXXX";
};

TEST(HandoverCompatibility, ReadsDisabledBackendsThatTheOldBuildStored) {
  const TemporaryFolder folder;
  std::ofstream(folder.file("cherryrail-n.bans")) << kDisabledBackendsFile;
  const admin::DisabledBackends disabled(folder.file("cherryrail-n.bans"));
  EXPECT_EQ(disabled.uids(), (std::set<std::string>{"a\xc3\xa9\"b", "s-0", "s-1"}));
}

TEST(HandoverCompatibility, StoresDisabledBackendsAsTheOldBuildDid) {
  const TemporaryFolder folder;
  const std::string path = folder.file("cherryrail-n.bans");
  admin::DisabledBackends disabled(path);
  for (const char* uid : {"s-1", "a\xc3\xa9\"b", "s-0"}) EXPECT_TRUE(disabled.set_disabled(uid, true));
  std::ifstream file(path);
  EXPECT_EQ(std::string(std::istreambuf_iterator<char>(file), {}), kDisabledBackendsFile);
  EXPECT_TRUE(std::filesystem::exists(path + ".lock"));
  EXPECT_FALSE(std::filesystem::exists(path + ".new"));
}

}  // namespace
}  // namespace cherryrail::testing
