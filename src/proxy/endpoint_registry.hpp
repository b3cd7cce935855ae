// The backends by their uid in the endpoint list, and the set of backends that operators have disabled.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "net/event_loop.hpp"
#include "protocol/endpoint_list.hpp"
#include "proxy/proxy_backend.hpp"

namespace cherryrail::proxy {

class EndpointRegistry {
 public:
  using BackendPtr = std::shared_ptr<ProxyBackend>;

  // `zone_names`: the zones of the settings; a zone's number is its position.
  EndpointRegistry(net::EventLoop& event_loop, Balancer& balancer, std::vector<std::string> zone_names);

  // Updates the balancer's backends from an endpoint list. A complete list removes the backends that it
  // omits. `current_until`: until when the previous list is known to have been current; 0 if never.
  void apply(const protocol::EndpointList& list, Micros current_until = 0);
  // Disables exactly these backends, and enables all others. A uid may be one that no list has named yet.
  void set_disabled(const std::set<std::string>& uids);

  std::size_t size() const { return backends_.size(); }
  // Whether operators can refer to the backend: a list has named it, or it is disabled.
  bool knows(const std::string& uid) const { return backends_.contains(uid) || disabled_.contains(uid); }
  // Null if no list has named the backend.
  BackendPtr find(std::string_view uid) const;
  // For a session from a predecessor. A backend that no list has named is added as gone, so that its sessions
  // migrate.
  BackendPtr find_or_add_gone(const std::string& uid);

 private:
  const BackendPtr& find_or_add(const std::string& uid);
  void apply_entry(const protocol::EndpointEntry& entry, Micros current_until);
  void remove_unlisted(const std::set<std::string_view>& listed);
  unsigned zone_number(const std::string& name);

  net::EventLoop& event_loop_;
  Balancer& balancer_;
  std::map<std::string, BackendPtr, std::less<>> backends_;  // by uid
  std::set<std::string> disabled_;                           // uids
  std::vector<std::string> zone_names_;                      // indexed by zone number
};

}  // namespace cherryrail::proxy
