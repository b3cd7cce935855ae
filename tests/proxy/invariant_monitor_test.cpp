// The relay's own account of what it promises: each kind of violation is noticed, and sound sessions are not.
#include "proxy/invariant_monitor.hpp"

#include <gtest/gtest.h>

#include "balancer/backend.hpp"

namespace cherryrail::testing {
namespace {

using proxy::Invariant;

// A session of a class that must not run twice, and what passes for it on the wire.
struct WatchedSession {
  net::Log log;
  proxy::InvariantMonitor monitor{log};
  proxy::SessionInvariants invariants{monitor};
  TrafficClass traffic_class;
  Session session;
  Backend backend;

  WatchedSession() {
    traffic_class.idempotency = Idempotency::non_idempotent;
    session.traffic_class = &traffic_class;
    session.deadline = 10 * kSecond;
  }

  void start_attempt() { invariants.on_attempt_started("1"); }
  void send_request(bool has_client = true) { invariants.on_request(session, "1", backend, has_client); }
  void answer(Micros now, bool invites_retry) {
    invariants.on_final_answer(session, "1", now, invites_retry);
  }
  std::uint64_t violations(Invariant invariant) const { return monitor.violations(invariant); }
  std::uint64_t all_violations() const {
    std::uint64_t sum = 0;
    for (std::size_t i = 0; i < proxy::kInvariantCount; ++i)
      sum += monitor.violations(static_cast<Invariant>(i));
    return sum;
  }
};

TEST(InvariantMonitor, FindsNothingWrongWithASecondAttemptAfterARejectedOne) {
  WatchedSession watched;

  watched.start_attempt();
  watched.send_request();
  watched.invariants.on_request_not_run();
  watched.invariants.on_attempt_ended();
  watched.start_attempt();
  watched.send_request();
  watched.answer(kSecond, false);

  EXPECT_EQ(watched.all_violations(), 0u);
}

TEST(InvariantMonitor, NoticesASecondRequestAfterOneThatMayHaveRun) {
  WatchedSession watched;

  watched.start_attempt();
  watched.send_request();
  watched.invariants.on_attempt_ended();
  watched.start_attempt();
  watched.send_request();

  EXPECT_EQ(watched.violations(Invariant::no_effect_twice), 1u);
}

// The second connection never came up: that says nothing of the first.
TEST(InvariantMonitor, NoticesAnInvitationToRetryThoughTheLastAttemptWasNeverSent) {
  WatchedSession watched;

  watched.start_attempt();
  watched.send_request();
  watched.invariants.on_attempt_ended();
  watched.start_attempt();
  watched.invariants.on_request_not_run();
  watched.answer(kSecond, true);

  EXPECT_EQ(watched.violations(Invariant::no_effect_twice), 1u);
}

TEST(InvariantMonitor, NoticesTwoAttemptsAtOnce) {
  WatchedSession watched;

  watched.start_attempt();
  watched.start_attempt();

  EXPECT_EQ(watched.violations(Invariant::one_attempt_at_a_time), 1u);
}

TEST(InvariantMonitor, NoticesARequestWithoutAClientOrToABackendThatDrains) {
  WatchedSession watched;
  watched.backend.state = EndpointState::draining;

  watched.start_attempt();
  watched.send_request(false);

  EXPECT_EQ(watched.violations(Invariant::no_request_without_client), 1u);
  EXPECT_EQ(watched.violations(Invariant::no_request_to_unready_backend), 1u);
}

TEST(InvariantMonitor, NoticesASecondAnswerAndALateOne) {
  WatchedSession watched;

  watched.answer(10 * kSecond, true);
  watched.answer(11 * kSecond, true);

  EXPECT_EQ(watched.violations(Invariant::one_final_answer), 1u);
  EXPECT_EQ(watched.violations(Invariant::answer_in_time), 1u);
}

}  // namespace
}  // namespace cherryrail::testing
