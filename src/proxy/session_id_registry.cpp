#include "proxy/session_id_registry.hpp"

namespace cherryrail::proxy {
namespace {

// The minimum time for which an id stays registered. It is also the interval at which an id is checked: it is
// removed at the first check after its session has ended.
constexpr Micros kRetention = 5'000'000;

}  // namespace

bool SessionIdRegistry::add(std::string_view id, const std::shared_ptr<Session>& session, Micros now) {
  remove_expired(now);
  const auto [entry, is_new] = ids_.try_emplace(std::string(id), session);
  if (is_new) next_checks_.emplace_back(now + kRetention, entry);
  return is_new;
}

void SessionIdRegistry::remove_expired(Micros now) {
  while (!next_checks_.empty() && next_checks_.front().first <= now) {
    const Ids::iterator entry = next_checks_.front().second;
    next_checks_.pop_front();
    const bool has_session_ended = entry->second.expired();
    if (has_session_ended) {
      ids_.erase(entry);
    } else {
      next_checks_.emplace_back(now + kRetention, entry);
    }
  }
}

}  // namespace cherryrail::proxy
