// The session ids in use at this relay, to detect duplicates.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

#include "balancer/time.hpp"
#include "net/event_loop.hpp"

namespace cherryrail::proxy {

// A backend refuses a second session with the id of an open one, and each refusal would be recorded as a
// failure of a healthy backend. An id stays in use while its session exists, and is refused for some seconds
// afterwards. Only a hash of each id is stored, because a client chooses its length.
class SessionIdRegistry {
 public:
  class Registration;

  // The number of ended sessions whose ids are still refused. Beyond it, the oldest are forgotten first.
  static constexpr std::size_t kMaxEndedIds = 8192;

  explicit SessionIdRegistry(const net::EventLoop& event_loop);

  // Registers the id until the returned object is destroyed; returns nothing if it is in use or was in use
  // until recently.
  std::optional<Registration> add(std::string_view id);

  std::size_t active_count() const;  // ids of existing sessions
  std::size_t ended_count() const;   // ids that are only remembered

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

 private:
  std::weak_ptr<Ids> ids_;  // empty once moved from
  std::uint64_t hash_;
  const net::EventLoop& event_loop_;
};

}  // namespace cherryrail::proxy
