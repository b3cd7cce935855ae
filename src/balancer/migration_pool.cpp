#include "balancer/migration_pool.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace cherryrail {

std::size_t MigrationPool::pool_size() const {
  const std::size_t sessions = fleet_.settled_count();
  return std::max<std::size_t>(
      1, std::min(sessions / kMinSessionsPerMigration,
                  std::max<std::size_t>(kSmallPoolSize, sessions / kSessionsPerMigration)));
}

std::size_t MigrationPool::queue_limit() const {
  const std::size_t sessions = std::max<std::size_t>(1, fleet_.settled_count());
  return std::min(std::max(kQueuedPerMigration * pool_size(), sessions), kMaxQueuedPerSession * sessions);
}

void MigrationPool::migrate_all(Backend& backend, const char* reason) {
  const std::size_t queued_before = fleet_.migration_queued_count();
  for (Session* session : backend.sessions) {
    if (session->is_established) enqueue(*session);
  }
  if (fleet_.migration_queued_count() > queued_before)
    actions_.log("migrating sessions: backend " + std::to_string(backend.name) + " " + reason);
  run();
}

void MigrationPool::migrate_all_within(Micros duration) {
  for (const auto& backend : fleet_.backends()) {
    for (Session* held : backend->sessions) {
      actions_.call_at(actions_.now() + random_.delay_up_to(duration), [this, weak = held->weak_from_this()] {
        const auto session = weak.lock();
        if (!session || !session->is_established) return;
        enqueue(*session);
        run();
      });
    }
  }
}

void MigrationPool::enqueue(Session& session) {
  if (session.is_migration_queued) return;
  const auto self = session.weak_from_this();
  const bool has_space = fleet_.migration_queued_count() < queue_limit();
  fleet_.mark_migration_queued(session);
  if (has_space)
    queue_.push_back(self);
  else
    actions_.call_at(actions_.now() + kQueueFullTimeout, [this, self] { enqueue_or_migrate(self); });
}

void MigrationPool::enqueue_or_migrate(const std::weak_ptr<Session>& waiting) {
  const auto session = waiting.lock();
  if (!session || !session->is_established) return;
  if (queue_.size() >= queue_limit()) {
    start_migration(*session);
    return;
  }
  queue_.push_back(waiting);
  run();
}

void MigrationPool::migrate_unresponsive(Session& session) {
  enqueue(session);
  const Micros migrate_by = actions_.now() + kUnresponsiveTimeout;
  actions_.call_at(migrate_by, [this, weak = session.weak_from_this()] {
    const auto waiting = weak.lock();
    if (waiting && waiting->is_established) start_migration(*waiting);
  });
  run();
}

void MigrationPool::run() {
  std::vector<std::weak_ptr<Session>> waiting;
  while (running_migrations_ < pool_size() && !queue_.empty()) {
    const auto session = queue_.front().lock();
    queue_.pop_front();
    if (!session || !session->is_established || session->is_migrating) continue;
    session->is_reconnecting = true;
    session->tried_backends.clear();
    if (must_wait(*session))
      waiting.push_back(session);
    else
      migrate(*session);
  }
  queue_.insert(queue_.end(), waiting.begin(), waiting.end());
  if (!waiting.empty()) schedule_run();
}

bool MigrationPool::must_wait(Session& session) {
  if (session.is_unresponsive) return false;
  const bool is_too_slow = penalties_.is_too_slow_for(session, *session.backend);
  const bool is_draining = session.backend->state == EndpointState::draining;
  if (placement_.is_stopped() || (!is_draining && !is_too_slow)) return false;
  const Backend* next = placement_.choose(session);
  return next == nullptr || (is_too_slow && penalties_.is_too_slow_for(session, *next));
}

void MigrationPool::migrate(Session& session) {
  ++running_migrations_;
  const auto is_running = std::make_shared<bool>(true);
  const auto finish = [this, is_running] {
    if (!std::exchange(*is_running, false)) return;
    --running_migrations_;
    run();
  };
  session.on_backend_ended = [finish](const AttemptOutcome&) { finish(); };
  actions_.call_at(actions_.now() + kMigrationTimeout, finish);
  start_migration(session);
}

void MigrationPool::start_migration(Session& session) {
  if (std::exchange(session.is_migrating, true)) return;
  actions_.migrate_session(session);
}

void MigrationPool::schedule_run() {
  if (std::exchange(is_run_scheduled_, true)) return;
  actions_.call_at(actions_.now() + parameters_.shortest_attempt_objective / kRunsPerObjective, [this] {
    is_run_scheduled_ = false;
    run();
  });
}

}  // namespace cherryrail
