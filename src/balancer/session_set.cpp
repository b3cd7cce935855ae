#include "balancer/session_set.hpp"

namespace cherryrail {

unsigned SessionSet::group_size(std::uint64_t hash_key) const {
  const auto found = by_group_.find(hash_key);
  return found == by_group_.end() ? 0 : found->second;
}

void SessionSet::insert(Session& session, Micros now) {
  session.index_at_backend = sessions_.size();
  sessions_.push_back(&session);
  ++by_group_[session.hash_key];
  load_ += session.load;
  recently_added_load_.add(now, session.load);
}

void SessionSet::erase(Session& session) {
  sessions_[session.index_at_backend] = sessions_.back();
  sessions_[session.index_at_backend]->index_at_backend = session.index_at_backend;
  sessions_.pop_back();
  const auto group = by_group_.find(session.hash_key);
  if (--group->second == 0) by_group_.erase(group);
  // Resets rounding errors whenever the set becomes empty.
  load_ = sessions_.empty() ? 0 : load_ - session.load;
}

}  // namespace cherryrail
