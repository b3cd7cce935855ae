// Accepting connections when system calls fail.
#include "net/listener.hpp"

#include <gtest/gtest.h>

#include <cerrno>
#include <vector>

#include "net/event_loop.hpp"
#include "support/fault_plan.hpp"
#include "support/test_socket.hpp"

namespace cherryrail::testing {
namespace {

// A connection that was reset in the accept queue must not keep the ones behind it from being accepted.
TEST(Listener, AcceptsOtherConnectionsAfterAnAbortedOne) {
  const FaultPlanScope scope;
  net::EventLoop event_loop;
  const int port = TestSocket::listening().port();
  int accepted = 0;
  net::Listener listener(
      event_loop, net::create_listening_socket(net::parse_address("127.0.0.1:" + std::to_string(port))),
      [&accepted](const net::SocketPtr&) { ++accepted; });
  listener.set_accepting(true);
  std::vector<TestSocket> clients;
  for (int i = 0; i < 3; ++i) clients.push_back(TestSocket::connected_to(port));

  fault_plan().accept.error_number = ECONNABORTED;
  fault_plan().accept.remaining = 2;
  listener.close_once_drained(event_loop.now());

  EXPECT_EQ(accepted, 3);
}

// The system may briefly lack descriptors when the relay starts.
TEST(Listener, RetriesCreatingItsSocketDuringAResourceShortage) {
  for (const int error : {ENFILE, ENOBUFS}) {
    const FaultPlanScope scope;
    const int port = TestSocket::listening().port();
    fault_plan().socket.error_number = error;
    fault_plan().socket.remaining = 3;

    EXPECT_NO_THROW(net::create_listening_socket(net::parse_address("127.0.0.1:" + std::to_string(port))));
  }
}

}  // namespace
}  // namespace cherryrail::testing
