// The interface of the decision module. A front (the bench's adapter, or the relay on sockets) owns a
// Host, makes one Balancer on it and calls the Balancer as things happen; the Balancer acts only through the
// Host. Nothing here knows a wire. Times are whole microseconds on the front's clock.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "balancer/sliding_window.hpp"
#include "balancer/time.hpp"

namespace cherryrail {

enum class Idempotency : std::uint8_t { idempotent, idempotency_key, non_idempotent };
enum class DeduplicationScope : std::uint8_t {
  all,
  zone,
  cell
};  // which backends drop a repeat of a referenced tunnel
enum class EndpointState : std::uint8_t { ready, draining, gone };
enum class AttemptResult : std::uint8_t {
  succeeded,
  error,
  rejected,
  timed_out,
  connect_failed,
  reset,
  cancelled,
  not_sent
};

struct TrafficClass {
  Micros attempt_latency_objective = 0;
  Micros client_timeout = 0;
  Micros message_latency_objective = 0;  // on an open tunnel
  double priority_weight = 1;
  Idempotency idempotency = Idempotency::idempotent;
  DeduplicationScope scope = DeduplicationScope::all;
  Micros window = 0;  // how long a repeat of a referenced tunnel is known
  std::size_t index = 0;
};

// What the site grants and demands, handed over once at start; the Balancer keeps only figures derived from
// it.
struct BalancerConfig {
  std::vector<TrafficClass> traffic_classes;
  std::vector<double> tenant_shares;  // open tunnels within each tenant's share, all relays together
  unsigned relay_count = 1, me = 0, zone = 0, max_attempts = 1;
  bool list_on_request = false, may_probe = false, may_cancel_attempts = false, may_advise = false;
  Micros longest_advice = 0, ask_within = 0, step = 0;
  Micros ask_again = 0;  // after a failure, where the list's service is this relay's own; 0: all share one
  Micros fall_window = 0, warm_up = 0;
  double fall_multiple = 1, cold_from = 1, probe_price = 0, cross_price = 0;
  // Setups beyond each tunnel's first, in any window of this length, 0 where nothing is stated: so many, and
  // this share of the tunnels taken in it.
  Micros budget_window = 0;
  double budget_free = 0, budget_share = 0;
};

struct Session;

// Late by itself, whatever its load is: by how much, until when that is believed, and how long it is each
// time.
struct LatencyPenalty {
  Micros by = 0, until = 0, wait = 0;
  Micros at(Micros now) const { return now < until ? by : 0; }
};

struct Backend : std::enable_shared_from_this<Backend> {
  // Said at the door.
  std::uint64_t name = 0;  // the same at every relay; hashed, never ordered by
  unsigned zone = 0, cell = 0;
  EndpointState state = EndpointState::ready;
  bool disabled_by_operator = false;  // by an operator, before it is listed first; from then on through ban()

  // Read for every backend at every choice: kept close together.
  bool is_ejected = false;
  double size = 1;                // to compare with other backends' sizes
  Micros started_at = 0;          // its latest start; 0 = long ago
  double load = 0;                // what the held tunnels are taken to ask of it
  double capacity_limit = 1e300;  // the load that this relay may put there, as learned from strain
  double full = 0;                // what it held when strain began
  Micros capacity_reduced_at = 0;
  bool is_capacity_inferred = false;  // room was taken from the others', not learned here
  std::vector<Session*> sessions;     // tunnels on their way to it or open on it
  std::uint64_t place = 0;            // its name, hashed
  double draw = 0, weight = 1;        // for the tunnel that is landing now

  EndpointState reported_state = EndpointState::ready;  // what the list says; `standing` counts the ban in
  Micros reported_started_at = 0, disabled_at = 0;
  std::map<std::uint64_t, unsigned> groups;  // how many of each hash key are held
  double failure_log_odds = 0;               // the sequential test: log odds that it is ill
  bool is_unresponsive = false, is_health_check_pending = false;
  unsigned consecutive_successes = 0;     // successes in a row since it was set aside
  unsigned consecutive_no_responses = 0;  // in a row: no word of any kind came back
  Micros next_recovery_attempt_at = 0, recovery_interval = 0;
  Micros last_response_at = 0, last_health_check_at = 0, last_calm_report_at = 0;
  SlidingWindow good{1'000'000}, bad{1'000'000};
  Micros late_by = 0, late_at = 0;  // the message time told last, and when
  LatencyPenalty late;
  unsigned consecutive_similar_latencies = 0;  // late message times in a row that hardly differ
  double told = 0;                             // by its latest report: load asked over what it can do
  SlidingWindow landed{125'000};               // load that a report read now may not know of yet
  std::int64_t cold_turn = -1;
  unsigned cold_sent = 0;
};

struct AttemptOutcome {
  AttemptResult result = AttemptResult::succeeded;
  Micros duration = 0;
};

// What a relay has learned, for the process that stands in for it from now on.
struct StateSnapshot {
  struct Of {
    std::uint64_t name = 0;
    Micros started_at = 0, reported_started_at = 0, capacity_reduced_at = 0;
    double failure_log_odds = 0, capacity_limit = 0, full = 0;
    bool is_ejected = false, is_unresponsive = false, is_capacity_inferred = false;
    std::int64_t cold_turn = -1;
    unsigned cold_sent = 0;
  };
  Micros born = 0, turns_from = 0, strained_until = 0;
  std::size_t new_clients = 0;
  double purse = 0, further = 0;  // setups beyond a first, in the budget's last window
  std::vector<Of> backends;
};

struct LoadReport {
  std::optional<double> reported_utilization;  // load asked over what it can do
};

struct Session : std::enable_shared_from_this<Session> {
  // Said at the door.
  const TrafficClass* traffic_class = nullptr;
  std::uint64_t client_key = 0, group_key = 0;
  std::size_t tenant = 0;
  Micros deadline = 0;
  std::optional<double> load_hint;  // work a second
  bool is_mid_flow = false;         // its packets flowed elsewhere until now
  bool is_reconnecting = false;     // after a break, a move or a try before

  // Kept by the Balancer.
  std::shared_ptr<Backend> backend;                 // holds the setup that is out, or the open tunnel
  std::function<void(const AttemptOutcome&)> next;  // what the result of the step under way leads to
  std::vector<const Backend*> tried_backends;
  const Backend* first = nullptr;  // its first-ranked backend when last ranked
  std::uint64_t hash_key = 0;
  unsigned attempts = 0;
  unsigned cold = 0,
           full = 0;  // backends that its last choice passed over: for a cold one's sake, for want of room
  double load = 0;
  std::size_t place = 0;  // index in ep->held
  bool is_answered = false, open = false, is_migration_queued = false;
  const Backend* may_have_run_on = nullptr;
  Micros may_have_run_since = 0, attempt_started_at = 0;
};

// The door through which the Balancer acts. Timers cannot be taken back; the closures see to that themselves.
class BalancerActions {
 public:
  virtual ~BalancerActions() = default;
  virtual Micros now() const = 0;
  virtual void start_attempt(Session&, Backend&, Micros time_limit) = 0;
  virtual void cancel_attempt(Session&) = 0;
  virtual void reject_session(Session&, Micros retry_after) = 0;
  virtual void fail_session(Session&) = 0;
  virtual void migrate_session(Session&) = 0;
  virtual void check_health(Backend&) = 0;
  virtual void watch_endpoints() = 0;
  virtual void call_at(Micros when, std::function<void()> then) = 0;
  virtual void log(const std::string& line) = 0;
};

class Balancer {
 public:
  Balancer(BalancerActions& host, const BalancerConfig& config, std::uint64_t seed);
  Balancer(const Balancer&) = delete;
  Balancer& operator=(const Balancer&) = delete;

  const std::vector<TrafficClass>& traffic_classes() const { return traffic_classes_; }
  // The list. The front makes a Backend once for each name and changes it only through list_entry.
  void update_endpoint(const std::shared_ptr<Backend>& backend, EndpointState state, double size,
                       Micros started_at);
  void set_disabled(Backend& backend, bool disabled_by_operator);
  void on_endpoints_updated();
  void on_discovery_failed(
      Micros most = std::numeric_limits<Micros>::max());  // ask again so soon at the latest
  // A tunnel's life.
  void admit(const std::shared_ptr<Session>& session);
  void adopt(const std::shared_ptr<Session>& session, const std::shared_ptr<Backend>& backend);
  void on_established(Session& session, Micros duration);
  void on_attempt_ended(Session& session, const AttemptOutcome& outcome, bool finished,
                        const LoadReport& report);
  void on_client_left(Session& session);
  void give_up(Session& session);  // the final answer to what has none yet, and the end of its setup
  bool may_still_send(const Session& session,
                      const Backend& backend) const;  // asked again before a setup's first byte leaves
  bool may_cancel_attempts() const { return may_cancel_attempts_; }
  bool is_shutting_down() const { return is_shutting_down_; }
  // What is heard on the side.
  void on_health_check_ended(Backend& backend, const AttemptOutcome& outcome, const LoadReport& report);
  void on_load_reported(Session& session, double load);
  void on_message_latency_reported(Session& session, Micros message_time);
  void on_session_unresponsive(Session& session);  // lines on it have brought nothing back for seconds
  // Before the end: moves every client, within the usual time or less, and declines those that still come.
  void begin_graceful_shutdown() { begin_graceful_shutdown(end_over_); }
  void begin_graceful_shutdown(Micros within);
  // Another process stands in for this relay from now on: turns at cold backends and the purse are its own.
  // What was learned is for that process to remember.
  StateSnapshot export_state();
  void import_state(const StateSnapshot& memory);

 private:
  enum class FinalAnswer : std::uint8_t { established, rejected, failed };
  // What the cap is measured against, over the backends that may be landed on.
  struct FleetLoad {
    double calm = 0;  // of new clients, in the long run
    double ready = 0, size = 0, mean_size = 0, tunnels_each = 0, load_by_size = 0, home = 1;
    double reported_state = 0, told = 1;  // the size of all that is not gone; how busy it is by its reports
    double room_left = 1;                 // of the room of the backends strained lately
    bool strained = false, most_strained = false;
  };

  Micros jittered(Micros most);  // half of it to all of it
  Micros spread(Micros most);    // none of it to all of it
  void stands(Backend& backend);
  void restarted(Backend& backend);
  void place(Session& session);
  Backend* choose(Session& session);
  void rank(Session& session);
  void deal_out(Session& session);
  double bears_cold() const;
  double slow_start_factor(const Backend& backend) const;
  FleetLoad caps_now() const;
  bool over_cap(const Backend& backend, double factor) const;
  bool cold_budget_allows(const Session& session, const Backend& backend) const;
  std::int64_t cold_turn(const Backend& backend) const;
  bool effect_allows(const Session& session, const Backend& backend) const;
  bool budget_allows(const Session& session) const;
  bool launch(Session& session, Backend& backend);
  Micros setup_limit(const Session& session) const;
  void measured(Micros duration);
  void after_setup(Session& session, Backend& backend, const AttemptOutcome& outcome);
  void answer(Session& session, FinalAnswer how);
  void opened(Session& session);
  bool over_share(const Session& session) const;
  double expected_load(const Session& session) const;
  void hold(Session& session, Backend& backend);
  void let_go(Session& session);
  void record_response(Backend& backend);
  void record_no_response(Backend& backend);
  void record_outcome(Backend& backend, bool good);
  void eject(Backend& backend);
  void record_load_report(Backend& backend, const LoadReport& report);
  bool cut_within(const Backend& backend, Micros time) const;
  double current_capacity(const Backend& backend) const;
  void reduce_capacity(Backend& backend, double kept);
  void dropped(Backend& backend);
  bool fits(double sessions, double load, const Session& session, const Backend& backend) const;
  double tunnel_load() const;
  bool too_late(const Session& session, const Backend& backend) const;
  void late_by_itself(Backend& backend);
  void leave_late(Backend& backend);
  bool told_late(const Backend& backend) const;
  void weigh_way(unsigned zone);
  Micros way_time(const Backend& backend) const;
  Micros lateness(const Backend& backend) const;  // its own or its way's, 0 where it is in time
  void strained(Backend& backend, double kept);
  void hold_others();
  void shed_excess_load(Backend& backend);
  void schedule_health_checks();
  std::size_t movers() const;
  std::size_t queue_limit() const;
  void queue_moves(Backend& backend, const char* why);
  void queue_move(Session& session);
  void run_movers();

  static constexpr double kPurse = 20;  // health checks that can be saved up

  BalancerActions& actions_;
  std::mt19937 chance_;
  std::vector<TrafficClass> traffic_classes_;
  std::vector<double> profile_load_;  // mean load told for each profile; its share of payoff until told
  std::vector<unsigned> profile_told_;
  std::vector<double> tenant_part_;  // of each tenant's share, what this relay may hold open
  std::vector<double> tenant_held_;
  double load_unit_ = 1;
  std::vector<std::shared_ptr<Backend>> backends_;  // in the order in which the list named them
  std::size_t held_ = 0, open_ = 0, queued_ = 0, moving_ = 0, look_from_ = 0;
  double held_load_ = 0, purse_ = 4;
  bool movers_wait_ = false, is_shutting_down_ = false;
  std::deque<std::weak_ptr<Session>> to_move_;
  unsigned relay_count_, me_, zone_, max_attempts_, list_failures_ = 0;
  bool list_on_request_, may_probe_, may_cancel_attempts_, may_advise_;
  Micros end_over_ = 0, longest_advice_, ask_within_, ask_again_, fall_window_, warm_up_, regrowth_,
         answer_margin_, shortest_goal_, shortest_message_ = 10'000'000, longest_message_ = 0, born_,
         turns_from_;
  double cold_multiple_, cold_from_, probe_price_, cross_price_;
  std::map<unsigned, LatencyPenalty> ways_;  // to other zones
  FleetLoad caps_;
  Micros strained_until_ = 0;  // most were: the verdict stands for a while
  std::size_t new_clients_ = 0;
  SlidingWindow returned_, good_, bad_, setups_made_, setup_time_;
  Micros budget_window_;
  double budget_free_, budget_share_, usual_payoff_ = 0;
  SlidingWindowOf<64> taken_, further_;  // tunnels, and setups beyond a first
};

}  // namespace cherryrail
