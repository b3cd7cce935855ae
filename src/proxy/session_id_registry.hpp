// The session ids in use at this relay, to detect duplicates.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "balancer/time.hpp"
#include "net/event_loop.hpp"

namespace cherryrail::proxy {

// A request with an id that a backend may have seen before must not be sent: it could take effect twice, and
// a backend refuses the id of an open session, which would be recorded as a failure of a healthy backend.
//
// A session registers its id, and claims it before its request is first sent. A claimed id is refused while
// its session exists and for kRetention afterwards. An id that was never claimed can be used again. During a
// hot restart both processes tell each other the ids that they claim. Only a hash of each id is stored,
// because a client chooses its length.
class SessionIdRegistry {
 public:
  class Registration;

  // How long a claimed id is refused after the end of its session, or after another process has told of it.
  // As long as the relay waits for any client.
  static constexpr Micros kRetention = 60 * kSecond;
  // The number of ids that are refused although no session of this process uses them. Beyond it, the oldest
  // are forgotten first.
  static constexpr std::size_t kMaxEndedIds = 65'536;

  using OnClaim = std::function<void(std::uint64_t id_hash)>;

  explicit SessionIdRegistry(const net::EventLoop& event_loop);

  // Sets the callback for each id that a session of this process is about to claim. The callback tells the
  // relay's other process and records what that has claimed.
  void on_claim(OnClaim callback);

  // Registers the id until the returned object is destroyed; returns nothing if it must be refused.
  std::optional<Registration> add(std::string_view id);
  // Registers the claimed id of a session that another process has handed over.
  Registration adopt(std::string_view id);
  // Refuses the ids that another process has claimed. `id_hashes` are from its claimed_ids() or OnClaim.
  void record_claims_of_peer(std::span<const std::uint64_t> id_hashes);

  std::size_t active_count() const;  // ids of existing sessions
  std::size_t ended_count() const;   // ids that are only remembered
  // All claimed ids, of existing and of ended sessions.
  std::vector<std::uint64_t> claimed_ids() const;

 private:
  struct Ids;

  const net::EventLoop& event_loop_;
  std::shared_ptr<Ids> ids_;
};

// Owned by the session. It may outlive the registry.
class SessionIdRegistry::Registration {
 public:
  Registration(std::weak_ptr<Ids> ids, std::uint64_t hash, const net::EventLoop& event_loop);
  ~Registration();
  Registration(Registration&& other) noexcept = default;
  Registration& operator=(Registration&& other) = delete;
  Registration(const Registration&) = delete;
  Registration& operator=(const Registration&) = delete;

  // To be called before each request of the session is sent. Returns false if another process has claimed the
  // id, so that the request must not be sent.
  bool claim();

 private:
  std::weak_ptr<Ids> ids_;  // empty once moved from
  std::uint64_t hash_;
  const net::EventLoop& event_loop_;
};

}  // namespace cherryrail::proxy
