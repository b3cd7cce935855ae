// All backends, with the sessions and loads that this relay has on them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "balancer/backend.hpp"
#include "balancer/parameters.hpp"

namespace cherryrail {

// The hash key of a session: its group's key or, without a group, its client's.
std::uint64_t hash_key_of(const Session& session);

// Expected load of a session on a backend, by traffic class.
class LoadEstimates {
 public:
  explicit LoadEstimates(const BalancerParameters& parameters);

  double expected(const Session& session) const;
  // Updates the estimate of a class with a reported load. Returns true for the first report of any class,
  // which changes the unit of all estimates.
  bool learn(std::size_t class_index, double load);

 private:
  struct Estimate {
    double load = 1;  // moving average of the reports; before the first, the relative priority of the class
    unsigned reports = 0;
  };

  std::vector<Estimate> classes_;
  double unit_ = 1;  // reported load per unit of relative priority
};

// When a backend started. The time reported by discovery tells one start from another; the time by this
// process's clock gives its age. 0: long ago.
struct BackendStart {
  Micros reported = 0;
  Micros local = 0;
};

class Fleet {
 public:
  explicit Fleet(const BalancerParameters& parameters);

  // In the order in which discovery first listed them; a removed backend stays until it holds no session.
  const std::vector<std::shared_ptr<Backend>>& backends() const { return backends_; }
  bool contains(const Backend& backend) const;
  std::shared_ptr<Backend> find(std::uint64_t name) const;
  // Whether discovery reports a new start time for a known backend.
  bool has_restarted(const Backend& backend, Micros reported_started_at) const;
  // Updates a backend with what discovery reports, and adds it if it is new.
  void record_endpoint(const std::shared_ptr<Backend>& backend, EndpointState state, double relative_capacity,
                       const BackendStart& start, Micros now);
  void erase_if_gone(const std::shared_ptr<Backend>& backend);

  // A backend holds a session from the start of the attempt until the attempt or the session ends.
  void attach(Session& session, Backend& backend, Micros now);
  void detach(Session& session);
  void mark_established(Session& session);
  void mark_migration_queued(Session& session);

  std::size_t session_count() const { return session_count_; }
  std::size_t migration_queued_count() const { return migration_queued_count_; }
  // Established sessions that are not waiting to migrate.
  std::size_t settled_count() const { return established_count_ - migration_queued_count_; }

  double expected_load(const Session& session) const { return estimates_.expected(session); }
  // The mean load of the sessions held; 1 without sessions.
  double mean_session_load() const;
  // Updates the load of a session from a report by a backend or client, in work per second.
  void record_load(Session& session, double load);
  // Whether this relay holds more sessions of the session's tenant than its part of the tenant's share.
  bool is_tenant_over_share(const Session& session) const;

 private:
  struct Tenant {
    double share = 0;  // this relay's part, in established sessions; 0: unlimited
    double held = 0;   // sessions
  };

  void recount_loads();

  std::vector<std::shared_ptr<Backend>> backends_;
  LoadEstimates estimates_;
  std::vector<Tenant> tenants_;
  std::size_t session_count_ = 0;
  std::size_t established_count_ = 0;
  std::size_t migration_queued_count_ = 0;
  double total_load_ = 0;
};

}  // namespace cherryrail
