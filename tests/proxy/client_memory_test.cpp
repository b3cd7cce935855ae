// What clients make the relay keep in memory, in particular after they have their answer.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "support/heap.hpp"
#include "support/loopback_relay.hpp"

namespace cherryrail::testing {
namespace {

constexpr std::size_t kKilobyte = 1024;
// What the relay may remember of a request for some seconds after its answer: that its id is in use.
constexpr std::size_t kBytesPerEndedId = 128;
// For buffers that the relay reuses.
constexpr std::size_t kSlackBytes = 64 * kKilobyte;
// Until each timer has expired that a connection starts for itself.
constexpr int kConnectionTimersMilliseconds = 2700;

// Connects `count` clients, some at a time, that send "OPEN ID 1 FIELDS" with a new id each, of `id_length`
// bytes. Each client reads its answer and closes its connection.
void flood(LoopbackRelay& relay, int count, std::size_t id_length, const std::string& fields) {
  constexpr int kClientsAtOnce = 50;
  for (int first = 0; first < count; first += kClientsAtOnce) {
    std::vector<TestSocket> clients;
    for (int i = first; i < first + kClientsAtOnce; ++i) {
      std::string id = std::to_string(i) + "-";
      id.resize(std::max(id.size(), id_length), 'f');
      clients.push_back(relay.connect_client("OPEN " + id + " 1 " + fields + "\r\n"));
    }
    EXPECT_TRUE(relay.run_until([&] {
      return std::all_of(clients.begin(), clients.end(),
                         [](TestSocket& client) { return client.is_ended_by_peer(); });
    }));
  }
  relay.run_for(20);  // the relay notices that the last clients have closed
}

// Guards against bad clients that fill the memory with long session ids, which were kept after the answer.
TEST(ClientMemory, DoesNotKeepTheIdsOfAnsweredClients) {
  constexpr int kRequests = 1000;
  constexpr std::size_t kIdLength = 4000;
  LoopbackRelay relay(1);
  flood(relay, 50, kIdLength, "c=talk,d=1");
  const std::size_t before = allocated_heap_bytes();

  flood(relay, kRequests, kIdLength, "c=talk,d=1");

  EXPECT_LT(allocated_heap_bytes(), before + kRequests * kKilobyte);
}

// Guards against clients that make the relay keep their sessions for a timeout of their own choice.
TEST(ClientMemory, KeepsNothingForTheTimeoutOfAnsweredClients) {
  constexpr int kRequests = 2000;
  LoopbackRelay relay(0);
  flood(relay, 50, 0, "c=talk,d=999999999");
  const std::size_t before = allocated_heap_bytes();

  flood(relay, kRequests, 0, "c=talk,d=999999999");
  relay.run_for(kConnectionTimersMilliseconds);

  EXPECT_LT(allocated_heap_bytes(), before + kRequests * kBytesPerEndedId);
}

// Guards against timers that outlive their connections: clients at full speed opened thousands within them.
TEST(ClientMemory, KeepsNothingOfConnectionsThatAreClosed) {
  constexpr int kRequests = 2000;
  for (const char* fields : {"c=unknown,d=1", "c=talk", ""}) {
    LoopbackRelay relay(1);
    flood(relay, 200, 0, fields);
    const std::size_t before = allocated_heap_bytes();

    flood(relay, kRequests, 0, fields);

    EXPECT_LT(allocated_heap_bytes(), before + kSlackBytes) << fields;
  }
}

// Guards against timers and ids that accumulate with the sessions that clients open and leave.
TEST(ClientMemory, KeepsAConstantNumberOfTimersAndALimitedNumberOfIds) {
  LoopbackRelay relay(1);
  relay.accept_watch();
  relay.run_for(100);
  const std::size_t timers_before = relay.event_loop.timer_count();

  for (int i = 0; i < 100; ++i) {
    auto session = relay.establish_session(std::to_string(i));
    session.client.reset();
    EXPECT_TRUE(relay.run_until([&] { return session.upstream.is_ended_by_peer(); }));
  }
  relay.run_for(20);

  // Health checks and the like start and end timers of their own.
  EXPECT_LE(relay.event_loop.timer_count(), timers_before + 5);
  EXPECT_EQ(relay.proxy->statistics().timers, relay.event_loop.timer_count());
  EXPECT_EQ(relay.proxy->statistics().ended_session_ids, 100u);
}

// Guards against one client that keeps sending after its answer: the connections closed meanwhile were queued
// behind its own.
TEST(ClientMemory, KeepsNothingOfConnectionsThatCloseBeforeASlowerOne) {
  constexpr int kRequests = 2000;
  LoopbackRelay relay(1);
  const TestSocket slow = relay.connect_client("bad request\r\n");
  flood(relay, 200, 0, "c=unknown,d=1");
  const std::size_t before = allocated_heap_bytes();

  for (int i = 0; i < kRequests; i += 200) {
    slow.send_some("more\r\n");
    flood(relay, 200, 0, "c=unknown,d=1");
  }

  EXPECT_LT(allocated_heap_bytes(), before + kSlackBytes);
}

// The same for clients that leave while their request waits for a list that names their backend.
TEST(ClientMemory, KeepsNothingOfClientsThatLeaveWhileTheyWait) {
  constexpr int kRequests = 500;
  LoopbackRelay relay(1);
  const auto ask_and_leave = [&relay](int count) {
    for (int i = 0; i < count; ++i) {
      TestSocket client = relay.connect_client("OPEN " + std::to_string(i) + "-" + std::to_string(count) +
                                               " 1 c=talk,d=5000,at=s-9\r\n");
      relay.run_until([&] { return relay.proxy->statistics().sessions > 0; }, 100);
      client.reset();
      relay.run_until([&] { return relay.proxy->statistics().sessions == 0; }, 100);
    }
  };
  ask_and_leave(100);
  const std::size_t before = allocated_heap_bytes();

  ask_and_leave(kRequests);

  EXPECT_LT(allocated_heap_bytes(), before + kRequests * kBytesPerEndedId);
}

// Guards against attempts that are kept for as long as a client asked, also after it has left.
TEST(ClientMemory, LimitsTheTimeoutThatAClientChooses) {
  LoopbackRelay relay(1, 500, R"(,"permissions":{"max_setups":3,"connect_timeout":100})");
  const auto timeout_sent_to_backend = [&relay](const std::string& id, const std::string& timeout) {
    const TestSocket client = relay.connect_client("OPEN " + id + " 1 c=talk,at=s-0,d=" + timeout + "\r\n");
    TestSocket upstream = relay.accept_attempt();
    const std::string request = upstream.received();
    return std::stol(request.substr(request.find("d=") + 2));
  };

  EXPECT_LE(timeout_sent_to_backend("1", "999999999"), 60'000);
  EXPECT_GT(timeout_sent_to_backend("2", "40000"), 39'000);
}

// Guards against answers to pings that pile up without limit for a client that reads none.
TEST(ClientMemory, EndsAClientThatPingsWithoutReadingItsAnswers) {
  LoopbackRelay relay(1);
  TestSocket client = relay.connect_client("PING\r\n");
  relay.run_with_full_buffers(20);
  client.send("PING\r\n");
  relay.run_with_full_buffers(20);

  EXPECT_TRUE(relay.run_until([&] { return client.is_ended_by_peer(); }));
  EXPECT_EQ(client.received(), "PONG\r\nERR\r\n");
}

// Guards against clients that open sessions and then neither read nor let their backend be read: what the
// relay buffers for all of them together has to fit into its memory.
TEST(ClientMemory, BuffersLittleForSessionsWhosePeersDoNotRead) {
  constexpr int kSessions = 20;
  constexpr std::size_t kBytesPerSession = 64 * kKilobyte;
  LoopbackRelay relay(1);
  std::vector<EstablishedSession> sessions;
  for (int i = 0; i < kSessions; ++i) sessions.push_back(relay.establish_session(std::to_string(i)));
  const std::size_t before = allocated_heap_bytes();

  const std::string lines = std::string(998, 'x') + "\r\n";
  bool has_sent = true;
  const auto send_without_reading = [&] {
    has_sent = false;
    for (auto& session : sessions) {
      for (const TestSocket* peer : {&session.client, &session.upstream}) {
        while (peer->send_some(lines) > 0) has_sent = true;
      }
    }
    return !has_sent;
  };
  for (int i = 0; i < 300; ++i) {
    send_without_reading();
    relay.event_loop.run_once();
  }

  EXPECT_LT(allocated_heap_bytes(), before + kSessions * kBytesPerSession);
}

}  // namespace
}  // namespace cherryrail::testing
