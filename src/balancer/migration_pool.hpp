// Migrates established sessions away from a backend or from this relay: a queue, and a limited number of
// concurrent migrations.
#pragma once

#include <cstddef>
#include <deque>
#include <memory>
#include <vector>

#include "balancer/actions.hpp"
#include "balancer/fleet.hpp"
#include "balancer/latency_penalties.hpp"
#include "balancer/placement.hpp"
#include "balancer/random_source.hpp"

namespace cherryrail {

// A migration ends the session at this relay after telling its client to reconnect. The limits on concurrent
// migrations and on the queue depend on the number of established sessions that are not queued to migrate.
class MigrationPool {
 public:
  MigrationPool(BalancerActions& actions, const BalancerParameters& parameters, RandomSource& random,
                Fleet& fleet, Placement& placement, const LatencyPenalties& penalties)
      : actions_(actions), parameters_(parameters), random_(random), fleet_(fleet), placement_(placement),
        penalties_(penalties) {}

  // Queues the session, unless it is queued already. The migration starts with run().
  void enqueue(Session& session);
  // Queues all established sessions of the backend and calls run(). `reason` is logged.
  void migrate_all(Backend& backend, const char* reason);
  // Queues the session, whose backend no longer answers, and calls run(). Such a session waits for no better
  // backend, and it migrates outside the pool if the pool does not reach it in time.
  void migrate_unresponsive(Session& session);
  // Starts as many queued migrations as the pool allows.
  void run();
  // For graceful shutdown: queues every established session at a random time within `duration`. If all
  // clients reconnected to other relays at once, the attempts would overload the backends.
  void migrate_all_within(Micros duration);

 private:
  // A migration that has not ended by then no longer occupies the pool.
  static constexpr Micros kMigrationTimeout = kSecond;
  // How long a session waits for space in a full queue before it migrates outside the pool.
  static constexpr Micros kQueueFullTimeout = kSecond / 10;
  // How long an unresponsive session waits in the queue before it migrates outside the pool. Its client may
  // be without answers for seven seconds in all: two and a half pass before the session counts as
  // unresponsive, and a migration may take half a second.
  static constexpr Micros kUnresponsiveTimeout = 3 * kSecond;

  // One migration may run for this many established sessions, but kSmallPoolSize may run in any case, unless
  // that leaves fewer than kMinSessionsPerMigration sessions for each.
  static constexpr std::size_t kSessionsPerMigration = 3;
  static constexpr int kSmallPoolSize = 10;
  static constexpr std::size_t kMinSessionsPerMigration = 2;
  // The queue holds this many sessions per concurrent migration, or all established sessions if these are
  // more, but at most kMaxQueuedPerSession for each established session.
  static constexpr std::size_t kQueuedPerMigration = 20;
  static constexpr std::size_t kMaxQueuedPerSession = 5;
  // Queued sessions that must wait are considered again this often within the shortest attempt objective.
  static constexpr Micros kRunsPerObjective = 2;

  // The number of migrations that may run at the same time.
  std::size_t pool_size() const;
  // The number of sessions that the queue may hold.
  std::size_t queue_limit() const;
  // Whether the session stays queued because no better backend would accept it now. A client that reconnects
  // then is rejected, while a draining backend that answers still serves it.
  bool must_wait(Session& session);
  // Migrates the session within the pool.
  void migrate(Session& session);
  // Migrates the session, unless it is migrating already.
  void start_migration(Session& session);
  // Queues the session if the queue has space by now, and otherwise migrates it at once.
  void enqueue_or_migrate(const std::weak_ptr<Session>& waiting);
  void schedule_run();

  BalancerActions& actions_;
  const BalancerParameters& parameters_;
  RandomSource& random_;
  Fleet& fleet_;
  Placement& placement_;
  const LatencyPenalties& penalties_;
  std::deque<std::weak_ptr<Session>> queue_;
  std::size_t running_migrations_ = 0;
  bool is_run_scheduled_ = false;
};

}  // namespace cherryrail
