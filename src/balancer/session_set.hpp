// The set of sessions at one backend, with the sum of their loads.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "balancer/session.hpp"
#include "balancer/sliding_window.hpp"

namespace cherryrail {

// Contains each session that has an attempt under way at the backend or is established there. Only Fleet adds
// and removes sessions.
class SessionSet {
 public:
  bool empty() const { return sessions_.empty(); }
  std::size_t size() const { return sessions_.size(); }
  Session* operator[](std::size_t index) const { return sessions_[index]; }
  Session* back() const { return sessions_.back(); }
  auto begin() const { return sessions_.begin(); }
  auto end() const { return sessions_.end(); }

  // The expected load of the sessions on the backend.
  double load() const { return load_; }
  // The number of sessions with this hash key.
  unsigned group_size(std::uint64_t hash_key) const;
  bool has_group(std::uint64_t hash_key) const { return by_group_.contains(hash_key); }
  // Load added so recently that a load report received now may not include it.
  double recently_added_load(Micros now) const { return recently_added_load_.sum(now); }

 private:
  friend class Fleet;

  void insert(Session& session, Micros now);
  void erase(Session& session);

  static constexpr Micros kMaxReportAge = kSecond;  // of a load report when it is received

  std::vector<Session*> sessions_;
  double load_ = 0;
  std::map<std::uint64_t, unsigned> by_group_;
  SlidingWindow recently_added_load_{kMaxReportAge / 8};  // covers kMaxReportAge with its 8 buckets
};

}  // namespace cherryrail
