// The balancer: handles events and takes each session from its admission to its final answer.
#pragma once

#include <cstdint>
#include <limits>
#include <memory>
#include <vector>

#include "balancer/actions.hpp"
#include "balancer/arrivals.hpp"
#include "balancer/attempt_statistics.hpp"
#include "balancer/capacity.hpp"
#include "balancer/endpoint_list_refresh.hpp"
#include "balancer/fleet.hpp"
#include "balancer/fleet_load.hpp"
#include "balancer/health_check_scheduler.hpp"
#include "balancer/latency_outliers.hpp"
#include "balancer/latency_penalties.hpp"
#include "balancer/load_shedding.hpp"
#include "balancer/local_zone.hpp"
#include "balancer/migration_pool.hpp"
#include "balancer/outlier_detector.hpp"
#include "balancer/parameters.hpp"
#include "balancer/placement.hpp"
#include "balancer/random_source.hpp"
#include "balancer/retry_policy.hpp"
#include "balancer/session_rules.hpp"
#include "balancer/slow_start.hpp"
#include "balancer/state_snapshot.hpp"

namespace cherryrail {

// Event-driven and deterministic: callers (the relay on sockets, the simulator's adapter) report events, and
// the balancer acts only through BalancerActions. It does no I/O and has no clock of its own; the same events
// and the same seed give the same decisions.
//
// Guarantees for every session: exactly one final answer, sent before the client's timeout unless the client
// has left; at most one attempt at a time; no attempt at a backend that is draining, disabled or gone; no
// attempt that could take effect a second time.
class Balancer {
 public:
  Balancer(BalancerActions& actions, const BalancerConfig& config, std::uint64_t seed);

  const std::vector<TrafficClass>& traffic_classes() const { return parameters_.traffic_classes; }
  bool may_cancel_attempts() const { return parameters_.may_cancel_attempts; }
  bool is_shutting_down() const { return placement_.is_stopped(); }

  // Endpoint list. The caller creates one Backend per name and afterwards changes it only through these
  // functions. `relative_capacity` is the capacity compared with other backends, `started_at` the backend's
  // latest start by the wall clock (0: long ago), and `current_until` the time at which the previous endpoint
  // list was last known to be current (0: never).
  void update_endpoint(const std::shared_ptr<Backend>& backend, EndpointState state, double relative_capacity,
                       Micros started_at, Micros current_until = 0);
  void set_disabled(Backend& backend, bool is_disabled);
  // A complete endpoint list has been received.
  void on_endpoints_updated() { endpoint_list_refresh_.on_updated(); }
  // Discovery could not be reached, or its watch ended. The next watch starts within `max_delay`.
  void on_discovery_failed(Micros max_delay = std::numeric_limits<Micros>::max()) {
    endpoint_list_refresh_.on_failed(max_delay);
  }

  // Session lifecycle. admit() places a new or reconnecting session at a backend.
  void admit(const std::shared_ptr<Session>& session);
  // Registers a session that is already established at the backend.
  void adopt(const std::shared_ptr<Session>& session, const std::shared_ptr<Backend>& backend);
  // Called again just before the first byte of an attempt is sent: connecting may have taken long, and the
  // conditions that allowed the attempt may no longer hold.
  Refusal refuse_request(const Session& session, const Backend& backend) const {
    return rules_.refuse_request(session, backend);
  }
  // The backend accepted the session, `duration` after the attempt started.
  void on_established(Session& session, Micros duration);
  // The attempt or the established session ended at its backend. `is_finished` is true if the whole session
  // ended with it.
  void on_attempt_ended(Session& session, const AttemptOutcome& outcome, bool is_finished,
                        const LoadReport& report);
  void on_client_left(Session& session);
  // If the session has no final answer yet, cancels its attempt (where allowed) and sends a negative answer:
  // rejected if nothing has taken effect or a repeat does no harm, failed otherwise.
  void give_up(Session& session);

  // Other feedback on backends.
  void on_health_check_ended(Backend& backend, const AttemptOutcome& outcome, const LoadReport& report);
  void on_load_reported(Session& session, double load);
  void on_message_latency_reported(Session& session, Micros latency);
  // Messages on the established session have had no response for seconds. The connection still looks healthy
  // to the relay, so without a migration the client would wait forever.
  void on_session_unresponsive(Session& session);

  // Graceful shutdown: rejects new sessions and migrates the others within `duration`, by default
  // BalancerParameters::shutdown_duration.
  void begin_graceful_shutdown() { begin_graceful_shutdown(parameters_.shutdown_duration); }
  void begin_graceful_shutdown(Micros duration) {
    placement_.stop();
    migration_.migrate_all_within(duration);
  }

  // Hot restart. After export_state() the successor alone uses this relay's admission slots and retry budget
  // and runs its health checks.
  StateSnapshot export_state();
  void import_state(const StateSnapshot& snapshot);

 private:
  enum class FinalAnswer : std::uint8_t { established, rejected, failed };

  void update_state(Backend& backend);
  // Resets the failure state of a backend that has restarted, since it no longer applies.
  void reset_failure_state(Backend& backend);
  void place(Session& session);
  // Whether more than one answer margin is left for an attempt. RetryPolicy::attempt_timeout() reserves two
  // further margins for the answer.
  bool has_time_for_attempt(const Session& session) const;
  void place_at_pinned_backend(Session& session);
  // An attempt that cannot have reached the backend does not count towards `max_attempts`.
  void retry_at_pinned_backend(Session& session, AttemptResult result);
  // The only function that starts an attempt: it checks every condition, however the backend was chosen.
  bool start_attempt(Session& session, Backend& backend);
  void on_attempt_failed(Session& session, Backend& backend, const AttemptOutcome& outcome);
  // Updates outlier detection, the capacity limit and the mean duration. Attempts cost the backend work, so
  // continued attempts would keep an overloaded backend overloaded.
  void record_failed_attempt(Backend& backend, const AttemptOutcome& outcome);
  // A ready backend that drops established sessions is overloaded or failing; a draining one is expected to
  // drop them.
  void on_established_session_ended(Backend& backend, const AttemptOutcome& outcome);
  void record_established(Session& session);
  // The session has, or no longer needs, its final answer.
  void mark_answered(Session& session);
  // The only function that sends a final answer, once for each session.
  void send_final_answer(Session& session, FinalAnswer final_answer);

  // Declared in order of dependency: each member may use those above it.
  BalancerActions& actions_;
  const BalancerParameters parameters_;
  RandomSource random_;
  Fleet fleet_{parameters_};
  Arrivals arrivals_{actions_.now()};
  LatencyPenalties penalties_{actions_};
  SlowStart slow_start_{actions_, parameters_, fleet_, arrivals_};
  AttemptStatistics attempts_{actions_, parameters_};
  RetryPolicy retry_policy_{actions_, parameters_, attempts_};
  SessionRules rules_{parameters_, retry_policy_};
  CapacityLimiter capacity_{actions_, parameters_, fleet_, slow_start_};
  LocalZonePreference local_zone_{actions_, parameters_, fleet_, arrivals_, capacity_};
  FleetLoadMeter meter_{actions_,    parameters_, fleet_,     arrivals_,
                        slow_start_, capacity_,   penalties_, local_zone_};
  Placement placement_{actions_,    parameters_, fleet_,     meter_,
                       slow_start_, capacity_,   penalties_, retry_policy_};
  MigrationPool migration_{actions_, parameters_, random_, fleet_, placement_, penalties_};
  LoadShedder load_shedder_{parameters_, fleet_, meter_, capacity_, placement_, migration_};
  OutlierDetector outliers_{actions_, fleet_, capacity_, migration_};
  LatencyOutlierDetector latency_outliers_{actions_, parameters_, fleet_, capacity_, penalties_, migration_};
  HealthCheckScheduler health_checks_{actions_, parameters_, random_, fleet_, capacity_, outliers_};
  EndpointListRefresh endpoint_list_refresh_{actions_, parameters_, random_};
};

}  // namespace cherryrail
