// The sessions that one backend holds, with the sum of their loads.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "balancer/session.hpp"
#include "balancer/sliding_window.hpp"

namespace cherryrail {

// Sessions with an attempt under way at the backend, or established there. Fleet adds and removes them.
class SessionSet {
 public:
  bool empty() const { return sessions_.empty(); }
  std::size_t size() const { return sessions_.size(); }
  Session* operator[](std::size_t index) const { return sessions_[index]; }
  Session* back() const { return sessions_.back(); }
  auto begin() const { return sessions_.begin(); }
  auto end() const { return sessions_.end(); }

  // What the sessions are taken to ask of the backend.
  double load() const { return load_; }
  // How many of them have this hash key.
  unsigned group_size(std::uint64_t hash_key) const;
  bool has_group(std::uint64_t hash_key) const { return by_group_.contains(hash_key); }
  // Load added so lately that a report read now may not know of it.
  double recently_added_load(Micros now) const { return recently_added_load_.sum(now); }

 private:
  friend class Fleet;

  void insert(Session& session, Micros now);
  void erase(Session& session);

  static constexpr Micros kReportAge = kSecond;  // of a report, at most, when it is read

  std::vector<Session*> sessions_;
  double load_ = 0;
  std::map<std::uint64_t, unsigned> by_group_;
  SlidingWindow recently_added_load_{kReportAge / 8};
};

}  // namespace cherryrail
