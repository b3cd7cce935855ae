// The ids of the sessions of this relay, to recognise one that comes twice.
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

// Every backend refuses a second session with the id of an open one, and each refusal would count against a
// healthy backend. An id is new with every connection, so it stays known for some seconds after its session's
// end, too.
class SessionIdRegistry {
 public:
  // False if the id is known already; it stays the other session's then.
  bool add(std::string_view id, const std::shared_ptr<Session>& session, Micros now);

 private:
  using Ids = std::map<std::string, std::weak_ptr<Session>, std::less<>>;

  void forget_old(Micros now);

  Ids ids_;
  std::deque<std::pair<Micros, Ids::iterator>> next_checks_;  // in the order of time
};

}  // namespace cherryrail::proxy
