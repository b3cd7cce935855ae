// Test fixture: a balancer whose actions are recorded, with ready backends and shorthands for its events.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "support/recording_actions.hpp"

namespace cherryrail::testing {

// One traffic class, at most four attempts, may cancel attempts and send retry-after, no health checks.
BalancerConfig default_config(Idempotency idempotency = Idempotency::idempotent);

// default_config() with health checks, in a fleet of `relay_count` relays.
BalancerConfig health_check_config(unsigned relay_count);

// default_config() with a price on cross-zone sessions.
BalancerConfig zone_aware_config();

struct BalancerFixture {
  RecordingActions actions;
  Balancer balancer;
  std::vector<std::shared_ptr<Backend>> backends;
  std::vector<std::shared_ptr<Session>> sessions;

  // The backends are past their slow start and alternate between zones 1 and 0.
  explicit BalancerFixture(std::size_t backend_count, const BalancerConfig& config = default_config());

  // Adds a ready backend; a `started_at` of 0 means long ago, so that there is no slow start.
  Backend& add_backend(Micros started_at, std::optional<unsigned> zone = {});
  void set_endpoint_state(std::size_t index, EndpointState state);

  // Creates a session that the balancer does not know yet.
  Session& make_session(std::uint64_t client_key);
  // Creates a session and has the balancer admit it: its first attempt has started, or it is rejected.
  Session& request_session(std::uint64_t client_key);
  // request_session(), then reports the first attempt, if there is one, as established.
  Session& establish_session(std::uint64_t client_key);

  // Establishes `count` sessions with consecutive client keys.
  void establish_sessions(std::uint64_t first_key, std::uint64_t count);
  // request_session() for a client that had a session before.
  Session& request_reconnect(std::uint64_t client_key);

  // Ends the session's current attempt with `result`; `is_final` also ends the session.
  void end_attempt(Session& session, AttemptResult result, bool is_final = false);
  // Ends the sessions that the balancer asked to migrate and clears their record.
  void end_migrated_sessions();

  // Reports a message latency for the first session of the backend.
  void report_message_latency(const Backend& backend, Micros latency);
  // Reports a utilization in the response to a health check that took `duration`.
  void report_utilization(Backend& backend, double utilization, Micros duration = kMillisecond);
  // In each round answers the pending health checks, with `result` for `backend` and with success for all
  // others, and then lets 20 ms pass.
  void answer_health_checks(Backend& backend, AttemptResult result, int rounds);

  std::size_t attempts_to(const Backend& backend) const;
  // Number of rejections and failures sent to the session's client; 0 for an established session.
  std::size_t final_answers(const Session& session) const;
};

}  // namespace cherryrail::testing
