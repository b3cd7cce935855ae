#include "proxy/session_id_registry.hpp"

#include <deque>
#include <functional>
#include <unordered_set>
#include <utility>

namespace cherryrail::proxy {
namespace {

// How long an id is refused after its session has ended.
constexpr Micros kRetention = 5 * kSecond;

}  // namespace

struct SessionIdRegistry::Ids {
  struct EndedId {
    Micros refused_until;
    std::uint64_t hash;
  };

  bool contains(std::uint64_t hash) const { return active.contains(hash) || ended.contains(hash); }

  void remember(std::uint64_t hash, Micros now) {
    active.erase(hash);
    if (by_end.size() >= kMaxEndedIds) forget_oldest();
    ended.insert(hash);
    by_end.push_back({now + kRetention, hash});
  }

  void forget_expired(Micros now) {
    while (!by_end.empty() && by_end.front().refused_until <= now) forget_oldest();
  }

  void forget_oldest() {
    ended.erase(by_end.front().hash);
    by_end.pop_front();
  }

  std::unordered_set<std::uint64_t> active;
  std::unordered_set<std::uint64_t> ended;
  std::deque<EndedId> by_end;  // the members of `ended` in the order in which their sessions ended
};

SessionIdRegistry::SessionIdRegistry(const net::EventLoop& event_loop)
    : event_loop_(event_loop), ids_(std::make_shared<Ids>()) {}

std::optional<SessionIdRegistry::Registration> SessionIdRegistry::add(std::string_view id) {
  ids_->forget_expired(event_loop_.now());
  const std::uint64_t hash = std::hash<std::string_view>{}(id);
  if (ids_->contains(hash)) return std::nullopt;
  ids_->active.insert(hash);
  return Registration(ids_, hash, event_loop_);
}

std::size_t SessionIdRegistry::active_count() const { return ids_->active.size(); }

std::size_t SessionIdRegistry::ended_count() const { return ids_->ended.size(); }

SessionIdRegistry::Registration::Registration(std::weak_ptr<Ids> ids, std::uint64_t hash,
                                              const net::EventLoop& event_loop)
    : ids_(std::move(ids)), hash_(hash), event_loop_(event_loop) {}

SessionIdRegistry::Registration::~Registration() {
  if (const auto ids = ids_.lock()) ids->remember(hash_, event_loop_.now());
}

}  // namespace cherryrail::proxy
