#include "proxy/session_id_registry.hpp"

#include <deque>
#include <unordered_map>
#include <utility>

#include "protocol/text_fields.hpp"

namespace cherryrail::proxy {

struct SessionIdRegistry::Ids {
  struct EndedId {
    Micros refused_until;
    std::uint64_t hash;
  };

  bool contains(std::uint64_t hash) const { return active.contains(hash) || ended.contains(hash); }

  void remember(std::uint64_t hash, Micros now) {
    if (by_end.size() >= kMaxEndedIds) forget_oldest();
    const Micros refused_until = now + kRetention;
    ended[hash] = refused_until;
    by_end.push_back({refused_until, hash});
  }

  void forget_expired(Micros now) {
    while (!by_end.empty() && by_end.front().refused_until <= now) forget_oldest();
  }

  void forget_oldest() {
    const EndedId oldest = by_end.front();
    by_end.pop_front();
    const auto entry = ended.find(oldest.hash);
    // An id that was remembered again has a later entry.
    if (entry != ended.end() && entry->second == oldest.refused_until) ended.erase(entry);
  }

  std::unordered_map<std::uint64_t, bool> active;   // the values tell whether the id is claimed
  std::unordered_map<std::uint64_t, Micros> ended;  // refused until these times
  std::deque<EndedId> by_end;                       // the ids in `ended`, in the order in which they expire
  OnClaim on_claim;
};

SessionIdRegistry::SessionIdRegistry(const net::EventLoop& event_loop)
    : event_loop_(event_loop), ids_(std::make_shared<Ids>()) {}

void SessionIdRegistry::on_claim(OnClaim callback) { ids_->on_claim = std::move(callback); }

std::optional<SessionIdRegistry::Registration> SessionIdRegistry::add(std::string_view id) {
  ids_->forget_expired(event_loop_.now());
  const std::uint64_t hash = protocol::hash_of_text(id);
  if (ids_->contains(hash)) return std::nullopt;
  ids_->active[hash] = false;
  return Registration(ids_, hash, event_loop_);
}

SessionIdRegistry::Registration SessionIdRegistry::adopt(std::string_view id) {
  const std::uint64_t hash = protocol::hash_of_text(id);
  ids_->active[hash] = true;
  return {ids_, hash, event_loop_};
}

void SessionIdRegistry::record_claims_of_peer(std::span<const std::uint64_t> id_hashes) {
  const Micros now = event_loop_.now();
  ids_->forget_expired(now);
  for (const std::uint64_t hash : id_hashes) ids_->remember(hash, now);
}

std::size_t SessionIdRegistry::active_count() const { return ids_->active.size(); }

std::size_t SessionIdRegistry::ended_count() const { return ids_->ended.size(); }

std::vector<std::uint64_t> SessionIdRegistry::claimed_ids() const {
  std::vector<std::uint64_t> hashes;
  for (const Ids::EndedId& ended : ids_->by_end) hashes.push_back(ended.hash);
  for (const auto& [hash, is_claimed] : ids_->active) {
    if (is_claimed) hashes.push_back(hash);
  }
  return hashes;
}

SessionIdRegistry::Registration::Registration(std::weak_ptr<Ids> ids, std::uint64_t hash,
                                              const net::EventLoop& event_loop)
    : ids_(std::move(ids)), hash_(hash), event_loop_(event_loop) {}

SessionIdRegistry::Registration::~Registration() {
  const auto ids = ids_.lock();
  if (!ids) return;
  const bool is_claimed = ids->active[hash_];
  ids->active.erase(hash_);
  if (is_claimed) ids->remember(hash_, event_loop_.now());
}

// The id is told before the other process's claims are read: if both claim an id at the same moment, at least
// one of them learns of the other's claim.
bool SessionIdRegistry::Registration::claim() {
  const auto ids = ids_.lock();
  if (!ids || ids->active[hash_]) return true;
  if (ids->on_claim) ids->on_claim(hash_);
  if (ids->ended.contains(hash_)) return false;
  ids->active[hash_] = true;
  return true;
}

}  // namespace cherryrail::proxy
