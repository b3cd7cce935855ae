// The balancer: takes events, and walks each session from its admission to its final answer.
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

// Its callers (the relay on sockets, the simulator's adapter) report what happens; it acts through
// BalancerActions alone. It does no I/O and has no clock of its own, and it makes the same decisions from the
// same events and seed.
//
// What holds for every session: one final answer before the client's timeout, and none after; never two
// attempts at once; none at a backend that is told to drain or is gone; none that could take effect a second
// time.
class Balancer {
 public:
  Balancer(BalancerActions& actions, const BalancerConfig& config, std::uint64_t seed);

  const std::vector<TrafficClass>& traffic_classes() const { return parameters_.traffic_classes; }
  bool may_cancel_attempts() const { return parameters_.may_cancel_attempts; }
  bool is_shutting_down() const { return placement_.is_stopped(); }

  // The endpoint list. The caller makes one Backend for each name and then changes it only through these.
  // `size` is the capacity relative to other backends, `started_at` the backend's latest start by the wall
  // clock (0: long ago), `current_until` when the endpoint list was last known to be current before (0:
  // never).
  void update_endpoint(const std::shared_ptr<Backend>& backend, EndpointState state, double size,
                       Micros started_at, Micros current_until = 0);
  void set_disabled(Backend& backend, bool is_disabled);
  // A list has been read to its end.
  void on_endpoints_updated() { endpoint_list_refresh_.on_updated(); }
  // Discovery could not be asked, or its watch ended; it is asked again after `longest` at the latest.
  void on_discovery_failed(Micros longest = std::numeric_limits<Micros>::max()) {
    endpoint_list_refresh_.on_failed(longest);
  }

  // A session's life.
  void admit(const std::shared_ptr<Session>& session);
  // Takes over a session that is established at the backend already.
  void adopt(const std::shared_ptr<Session>& session, const std::shared_ptr<Backend>& backend);
  // Asked again before the first byte of an attempt leaves: its connection may have been long in coming up,
  // and what allowed the attempt may have ended meanwhile.
  Refusal refuse_request(const Session& session, const Backend& backend) const {
    return rules_.refuse_request(session, backend);
  }
  void on_established(Session& session, Micros duration);
  // The attempt or the established session ended at its backend; `is_finished` if the session ended with it.
  void on_attempt_ended(Session& session, const AttemptOutcome& outcome, bool is_finished,
                        const LoadReport& report);
  void on_client_left(Session& session) { session.is_answered = true; }
  // Ends the attempt of a session without a final answer, and gives it a negative one: rejected where that is
  // true (nothing happened, or doing it again does no harm), else failed.
  void give_up(Session& session);

  // What is heard of backends beside.
  void on_health_check_ended(Backend& backend, const AttemptOutcome& outcome, const LoadReport& report);
  void on_load_reported(Session& session, double load);
  void on_message_latency_reported(Session& session, Micros latency);
  // Messages on the established session have brought nothing back for seconds: it looks sound from here, and
  // its client would wait for good.
  void on_session_unresponsive(Session& session);

  // Before this relay ends: rejects new sessions and migrates the others, within the usual time or the given
  // one.
  void begin_graceful_shutdown() { begin_graceful_shutdown(parameters_.shutdown_duration); }
  void begin_graceful_shutdown(Micros duration) {
    placement_.stop();
    migration_.migrate_everything_within(duration);
  }

  // Another process takes this relay's place from now on: its admission slots, its retry budget and its
  // health checks are that process's own.
  StateSnapshot export_state();
  void import_state(const StateSnapshot& snapshot);

 private:
  enum class FinalAnswer : std::uint8_t { established, rejected, failed };

  void update_state(Backend& backend);
  // It has restarted: what was learned of it holds no longer.
  void forget_failures(Backend& backend);
  void place(Session& session);
  bool has_time_for_attempt(const Session& session) const;
  void place_at_pinned_backend(Session& session);
  void retry_at_pinned_backend(Session& session, AttemptResult result);
  // The one place from which an attempt leaves: whatever chose the backend, every condition is checked here.
  bool start_attempt(Session& session, Backend& backend);
  void on_attempt_failed(Session& session, Backend& backend, const AttemptOutcome& outcome);
  // Attempts cost work: sent on to a backend that drops or starves them, they keep it down.
  void record_failed_attempt(Backend& backend, const AttemptOutcome& outcome);
  // A backend that drops established sessions is overloaded or fails; one told to leave may do as it likes.
  void on_established_session_ended(Backend& backend, const AttemptOutcome& outcome);
  void keep_established(Session& session);
  // The one place from which a final answer leaves; it happens once for each session.
  void answer(Session& session, FinalAnswer final_answer);

  // Each part may use those above it.
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
