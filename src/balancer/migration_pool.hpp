// Moves established sessions off a backend, or off this relay: a queue, and a bounded number of migrations at
// a time.
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

// A migration ends the session here, with the word to its client to connect anew. The bounds are the
// design's, with P the established sessions that are not waiting to migrate.
class MigrationPool {
 public:
  MigrationPool(BalancerActions& actions, const BalancerParameters& parameters, RandomSource& random,
                Fleet& fleet, Placement& placement, const LatencyPenalties& penalties)
      : actions_(actions), parameters_(parameters), random_(random), fleet_(fleet), placement_(placement),
        penalties_(penalties) {}

  // Queues the session, unless it is queued already. run() begins what may begin.
  void enqueue(Session& session);
  // Queues all sessions that the backend holds, and runs; `reason` is for the log.
  void migrate_all(Backend& backend, const char* reason);
  // Begins migrations, as many as the pool allows.
  void run();
  // The relay shuts down: every session is queued at a moment drawn from this time. Asked all at once,
  // clients would connect at once to other relays, and backends would drown in attempts.
  void migrate_everything_within(Micros duration);

 private:
  static constexpr Micros kLongestMigration = kSecond;  // after that its place in the pool is free again
  static constexpr Micros kQueueFullWait =
      kSecond / 10;  // for space, before a session migrates outside the pool

  std::size_t pool_size() const;
  std::size_t queue_limit() const;
  // A client that is migrated while nothing would take it in is rejected; on a backend that drains it is
  // served.
  bool must_wait(Session& session);
  void migrate(Session& session);
  void enqueue_when_space(const std::weak_ptr<Session>& waiting);
  void run_again_later();

  BalancerActions& actions_;
  const BalancerParameters& parameters_;
  RandomSource& random_;
  Fleet& fleet_;
  Placement& placement_;
  const LatencyPenalties& penalties_;
  std::deque<std::weak_ptr<Session>> queue_;
  std::size_t running_ = 0;
  bool is_run_scheduled_ = false;
};

}  // namespace cherryrail
