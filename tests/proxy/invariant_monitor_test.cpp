// The run-time invariant checks report each kind of violation and nothing for a correct session.
#include "proxy/invariant_monitor.hpp"

#include <gtest/gtest.h>

#include "balancer/backend.hpp"

namespace cherryrail::testing {
namespace {

using proxy::Invariant;

// A session of a non-idempotent traffic class and the events that the monitor observes for it.
struct MonitoredSession {
  net::Log log;
  proxy::InvariantMonitor monitor{log};
  proxy::SessionInvariants invariants{monitor};
  TrafficClass traffic_class;
  Session session;
  Backend backend;

  MonitoredSession() {
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

TEST(InvariantMonitor, AcceptsASecondAttemptAfterARejectedOne) {
  MonitoredSession monitored;

  monitored.start_attempt();
  monitored.send_request();
  monitored.invariants.on_request_not_run();
  monitored.invariants.on_attempt_ended();
  monitored.start_attempt();
  monitored.send_request();
  monitored.answer(kSecond, false);

  EXPECT_EQ(monitored.all_violations(), 0u);
}

TEST(InvariantMonitor, ReportsASecondRequestAfterOneThatMayHaveRun) {
  MonitoredSession monitored;

  monitored.start_attempt();
  monitored.send_request();
  monitored.invariants.on_attempt_ended();
  monitored.start_attempt();
  monitored.send_request();

  EXPECT_EQ(monitored.violations(Invariant::no_effect_twice), 1u);
}

// The second connection was never established, which does not show that the first request was not run.
TEST(InvariantMonitor, ReportsARetryInvitationAfterARequestThatMayHaveRun) {
  MonitoredSession monitored;

  monitored.start_attempt();
  monitored.send_request();
  monitored.invariants.on_attempt_ended();
  monitored.start_attempt();
  monitored.invariants.on_request_not_run();
  monitored.answer(kSecond, true);

  EXPECT_EQ(monitored.violations(Invariant::no_effect_twice), 1u);
}

TEST(InvariantMonitor, ReportsTwoConcurrentAttempts) {
  MonitoredSession monitored;

  monitored.start_attempt();
  monitored.start_attempt();

  EXPECT_EQ(monitored.violations(Invariant::one_attempt_at_a_time), 1u);
}

TEST(InvariantMonitor, ReportsARequestWithoutAClientAndToADrainingBackend) {
  MonitoredSession monitored;
  monitored.backend.state = EndpointState::draining;

  monitored.start_attempt();
  monitored.send_request(false);

  EXPECT_EQ(monitored.violations(Invariant::no_request_without_client), 1u);
  EXPECT_EQ(monitored.violations(Invariant::no_request_to_unready_backend), 1u);
}

TEST(InvariantMonitor, ReportsASecondAnswerAndAnAnswerAfterTheDeadline) {
  MonitoredSession monitored;

  monitored.answer(10 * kSecond, true);
  monitored.answer(11 * kSecond, true);

  EXPECT_EQ(monitored.violations(Invariant::one_final_answer), 1u);
  EXPECT_EQ(monitored.violations(Invariant::answer_in_time), 1u);
}

}  // namespace
}  // namespace cherryrail::testing
