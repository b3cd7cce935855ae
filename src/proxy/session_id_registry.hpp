// The session ids in use at this relay, to detect duplicates.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "balancer/balancer.hpp"

namespace cherryrail::proxy {

// A backend refuses a second session with the id of an open one, and each refusal would be recorded as a
// failure of a healthy backend. Clients use a new id for every connection, so an id may stay registered
// for some seconds after its session has ended.
class SessionIdRegistry {
 public:
  // Registers the id for the session. Returns false if the id is already registered, for another session.
  bool add(std::string_view id, const std::shared_ptr<Session>& session, Micros now);

 private:
  using Ids = std::map<std::string, std::weak_ptr<Session>, std::less<>>;

  void remove_expired(Micros now);

  Ids ids_;
  std::deque<std::pair<Micros, Ids::iterator>> next_checks_;  // ordered by due time
};

}  // namespace cherryrail::proxy
