// A balancer on recorded actions, with ready backends, and short calls for what may happen to it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "support/recording_actions.hpp"

namespace cherryrail::testing {

// One traffic class, four attempts, cancelling and retry advice allowed, no health checks.
BalancerConfig default_config(Idempotency idempotency = Idempotency::idempotent);

// The same with health checks, as one of so many relays.
BalancerConfig health_check_config(unsigned relay_count);

// The same with a price on sessions that leave their zone.
BalancerConfig zone_aware_config();

struct BalancerFixture {
  RecordingActions actions;
  Balancer balancer;
  std::vector<std::shared_ptr<Backend>> backends;
  std::vector<std::shared_ptr<Session>> sessions;

  // The backends are warm and stand in zones 1 and 0 by turns.
  explicit BalancerFixture(std::size_t backend_count, const BalancerConfig& config = default_config());

  // A ready backend that started then; 0 is long ago.
  Backend& add_backend(Micros started_at, std::optional<unsigned> zone = {});
  void set_endpoint_state(std::size_t index, EndpointState state);

  // A session that the balancer does not know yet.
  Session& make_session(std::uint64_t client_key);
  // A new session, admitted: its first attempt is out, or it is rejected.
  Session& request_session(std::uint64_t client_key);
  // A new session whose first attempt, if there is one, succeeds.
  Session& establish_session(std::uint64_t client_key);

  // So many established sessions, with the keys from this one on.
  void establish_sessions(std::uint64_t first_key, std::uint64_t count);
  // As request_session, for a client that had a session before.
  Session& request_reconnect(std::uint64_t client_key);

  // The attempt, or the established session where `is_final`, ends with this result.
  void end_attempt(Session& session, AttemptResult result, bool is_final = false);
  // The clients told to migrate leave; the record of them is empty afterwards.
  void end_migrated_sessions();

  // Message latency as measured on the first session that the backend holds.
  void report_message_latency(const Backend& backend, Micros latency);
  // Utilization as told by the answer to a health check.
  void report_utilization(Backend& backend, double utilization, Micros duration = kMillisecond);
  // Lets 20 ms pass a round while health checks are answered: of this backend so, of the others well.
  void answer_health_checks(Backend& odd_backend, AttemptResult result, int rounds);

  std::size_t attempts_to(const Backend& backend) const;
  // How often the session's client was rejected or failed; an established session has none.
  std::size_t final_answers(const Session& session) const;
};

}  // namespace cherryrail::testing
