// All backends, and the account of the sessions and loads that this relay has there.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "balancer/backend.hpp"
#include "balancer/parameters.hpp"

namespace cherryrail {

// The hash key of a session: its group's, or else its client's.
std::uint64_t hash_key_of(const Session& session);

// What load a session of each traffic class is expected to ask of a backend.
class LoadEstimates {
 public:
  explicit LoadEstimates(const BalancerParameters& parameters);

  double expected(const Session& session) const;
  // Takes in a load that was reported; true if it is the first of all, which changes the unit of every
  // estimate.
  bool learn(std::size_t class_index, double load);

 private:
  struct Estimate {
    double load = 1;  // the mean of what was reported; until then the class's share of priority
    unsigned reports = 0;
  };

  std::vector<Estimate> classes_;
  double unit_ = 1;  // reported load for one unit of priority share
};

// When a backend started: as discovery states it, which tells one start from another, and by this process's
// clock, which tells how long ago that was. 0: long ago.
struct BackendStart {
  Micros reported = 0;
  Micros local = 0;
};

class Fleet {
 public:
  explicit Fleet(const BalancerParameters& parameters);

  // In the order in which discovery named them; a removed backend stays until it holds no session.
  const std::vector<std::shared_ptr<Backend>>& backends() const { return backends_; }
  bool contains(const Backend& backend) const;
  std::shared_ptr<Backend> find(std::uint64_t name) const;
  // Whether discovery tells of another start of a backend that it told of before.
  bool has_restarted(const Backend& backend, Micros reported_started_at) const;
  // Takes in what discovery tells of a backend, and adds it if it is new.
  void record_endpoint(const std::shared_ptr<Backend>& backend, EndpointState state, double size,
                       const BackendStart& start, Micros now);
  void erase_if_gone(const std::shared_ptr<Backend>& backend);

  // A session is held by a backend from the start of its attempt to the end of that, or of the session.
  void attach(Session& session, Backend& backend, Micros now);
  void detach(Session& session);
  void mark_established(Session& session);
  void mark_migration_queued(Session& session);

  std::size_t session_count() const { return session_count_; }
  std::size_t migration_queued_count() const { return migration_queued_count_; }
  // Established sessions that are not waiting to migrate.
  std::size_t settled_count() const { return established_count_ - migration_queued_count_; }

  double expected_load(const Session& session) const { return estimates_.expected(session); }
  // The mean load of the sessions held; 1 where there are none.
  double mean_session_load() const;
  // A backend or client reported what load the session asks, in work a second.
  void record_load(Session& session, double load);
  // Whether this relay holds more of the session's tenant than its part of the tenant's share.
  bool is_over_share(const Session& session) const;

 private:
  struct Tenant {
    double share = 0;  // of established sessions, this relay's part
    double held = 0;
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
