// Requests for the endpoint list while discovery is slow, silent or busy. The relay has to know a change six
// seconds after discovery has it and can be reached, and to send few requests.
#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "support/loopback_relay.hpp"

namespace cherryrail::testing {
namespace {

constexpr const char* kPushedLists =
    R"(,"discovery":"pushed","invariants":{"warm_up":9000,"fall":3000,"stop_sending_within":250})";
constexpr const char* kRequestedLists =
    R"(,"balancers":30,"discovery":"on_request","invariants":{"warm_up":9000,"fall":3000,"ask_within":10000})";

constexpr int kSlowAnswerMilliseconds = 2'900;
constexpr Micros kMaxListAge = 6 * kSecond;
constexpr Micros kMachineDelay = 100 * kMillisecond;

struct SlowDiscovery {
  const char* settings;
  int answer_milliseconds;
};

// Accepts the relay's requests for `milliseconds`, and answers none.
std::vector<TestSocket> accept_requests(LoopbackRelay& relay, int milliseconds) {
  std::vector<TestSocket> requests;
  relay.run_until(
      [&] {
        if (TestSocket request = relay.discovery.accept()) requests.push_back(std::move(request));
        return false;
      },
      milliseconds);
  return requests;
}

// Guards against a request that is given up and made again for as long as discovery is slow (review/10): the
// first answer has to be followed, also if it comes after the next request.
TEST(SlowDiscovery, TheFirstAnswerIsFollowedHoweverLongItTakes) {
  for (const SlowDiscovery& discovery :
       {SlowDiscovery{kPushedLists, 1500}, {kPushedLists, 4000}, {kRequestedLists, 5000}}) {
    LoopbackRelay relay(2, 500, discovery.settings);
    auto session = relay.establish_session("1");
    const std::size_t index = relay.backend_index(session.upstream);

    std::vector<TestSocket> requests = accept_requests(relay, discovery.answer_milliseconds);
    ASSERT_GE(requests.size(), 2u);
    answer_watch(requests[0], endpoint_changes(5, {relay.endpoint(index, "leaving")}));

    EXPECT_TRUE(relay.run_until([&] { return session.client.received() == "UP r\r\nMOVE\r\n"; }))
        << discovery.answer_milliseconds;
    EXPECT_FALSE(requests[0].is_ended_by_peer());
    for (std::size_t later = 1; later < requests.size(); ++later)
      EXPECT_TRUE(requests[later].is_ended_by_peer());  // they would only bring the same list later
  }
}

TEST(SlowDiscovery, ReceivesFewRequestsWhileItAnswersNone) {
  for (const auto& [settings, max_requests] : {std::pair{kPushedLists, 4u}, {kRequestedLists, 3u}}) {
    LoopbackRelay relay(1, 500, settings);

    const std::vector<TestSocket> requests = accept_requests(relay, 7500);

    EXPECT_GE(requests.size(), 3u);  // some may be lost
    EXPECT_LE(requests.size(), max_requests);
  }
}

// Guards against a start by an outdated list where the list is pushed: what the agent knows binds from the
// start of the process, also if the agent takes a while to answer.
TEST(SlowDiscovery, ClientsWaitAtTheStartForAPushedListThatTakesHalfASecond) {
  LoopbackRelay relay(2, 500, kPushedLists);
  std::vector<TestSocket> clients;
  for (int i = 0; i < 6; ++i)
    clients.push_back(relay.connect_client("OPEN " + std::to_string(i) + " 1 c=talk,d=1200\r\n"));

  relay.run_for(500);
  relay.publish_endpoints(endpoint_changes(5, {relay.endpoint(0, "leaving")}));

  for (int i = 0; i < 6; ++i) {
    const TestSocket attempt = relay.accept_from(relay.backends[1]);
    EXPECT_TRUE(attempt) << i;
  }
  EXPECT_FALSE(relay.backends[0].accept());
}

// Guards against an answer that comes too late because the request was sent too long after the silence began.
TEST(SlowDiscovery, ASilentWatchIsRenewedWithTimeForASlowAnswer) {
  LoopbackRelay relay(1, 500, kRequestedLists);
  relay.publish_endpoints(endpoint_changes(5, {}));
  relay.run_for(20);
  const Micros silent_since = relay.event_loop.now();

  EXPECT_TRUE(relay.accept_from(relay.discovery, 4000));

  EXPECT_LE(relay.event_loop.now() - silent_since,
            kMaxListAge - kSlowAnswerMilliseconds * kMillisecond + kMachineDelay);
}

// Guards against a backoff after a busy answer that ignores how old the list is already.
TEST(SlowDiscovery, ABusyAnswerAfterASilentWatchDoesNotDelayTheNextRequestTooLong) {
  LoopbackRelay relay(1, 500, kRequestedLists);
  relay.publish_endpoints(endpoint_changes(5, {}));
  relay.run_for(20);
  const Micros silent_since = relay.event_loop.now();
  TestSocket busy = relay.accept_from(relay.discovery, 4000);
  ASSERT_TRUE(busy);

  busy.send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
  EXPECT_TRUE(relay.accept_from(relay.discovery, 4000));

  EXPECT_LE(relay.event_loop.now() - silent_since, kMaxListAge - kSecond + kMachineDelay);
}

}  // namespace
}  // namespace cherryrail::testing
