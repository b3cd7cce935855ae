#include "proxy/endpoint_registry.hpp"

#include <algorithm>
#include <utility>

#include "protocol/text_fields.hpp"

namespace cherryrail::proxy {
namespace {

std::string_view to_string(EndpointState state) {
  switch (state) {
    case EndpointState::ready:
      return "ready";
    case EndpointState::draining:
      return "draining";
    case EndpointState::gone:
      return "gone";
  }
  return "gone";
}

}  // namespace

EndpointRegistry::EndpointRegistry(net::EventLoop& event_loop, Balancer& balancer,
                                   std::vector<std::string> zone_names)
    : event_loop_(event_loop), balancer_(balancer), zone_names_(std::move(zone_names)) {}

void EndpointRegistry::apply(const protocol::EndpointList& list, Micros current_until) {
  if (list.skipped_entries > 0) {
    event_loop_.log().write(net::Topic::discovery, "{} endpoints in an unknown state skipped",
                            list.skipped_entries);
  }
  std::set<std::string_view> listed;
  for (const protocol::EndpointEntry& entry : list.entries) {
    listed.insert(entry.uid);
    apply_entry(entry, current_until);
  }
  // The uid of a skipped entry is unknown here, so its backend would be removed by mistake.
  if (list.is_complete && list.skipped_entries == 0) remove_unlisted(listed);
  balancer_.on_endpoints_updated();
}

void EndpointRegistry::apply_entry(const protocol::EndpointEntry& entry, Micros current_until) {
  const BackendPtr& backend = find_or_add(entry.uid);
  if (const net::Address address = net::parse_address(entry.address)) backend->address = address;
  backend->zone = zone_number(entry.zone);
  backend->cell = entry.cell;
  event_loop_.log().write(net::Topic::discovery, "backend {} is {} at {}: {}", backend->name, entry.uid,
                          entry.address, to_string(entry.state));
  balancer_.update_endpoint(backend, entry.state, entry.capacity_hint, entry.started_at, current_until);
}

void EndpointRegistry::remove_unlisted(const std::set<std::string_view>& listed) {
  for (const auto& [uid, backend] : backends_) {
    if (listed.contains(uid)) continue;
    balancer_.update_endpoint(backend, EndpointState::gone, backend->relative_capacity,
                              backend->reported_started_at);
  }
}

void EndpointRegistry::set_disabled(const std::set<std::string>& uids) {
  const std::set<std::string> before = std::exchange(disabled_, uids);
  for (const auto& [uid, backend] : backends_) {
    const bool is_disabled = uids.contains(uid);
    if (before.contains(uid) != is_disabled) balancer_.set_disabled(*backend, is_disabled);
  }
}

EndpointRegistry::BackendPtr EndpointRegistry::find(std::string_view uid) const {
  const auto found = backends_.find(uid);
  return found == backends_.end() ? nullptr : found->second;
}

EndpointRegistry::BackendPtr EndpointRegistry::find_or_add_gone(const std::string& uid) {
  const bool is_listed = backends_.contains(uid);
  const BackendPtr& backend = find_or_add(uid);
  if (!is_listed) balancer_.update_endpoint(backend, EndpointState::gone, 1, 0);
  return backend;
}

const EndpointRegistry::BackendPtr& EndpointRegistry::find_or_add(const std::string& uid) {
  BackendPtr& backend = backends_[uid];
  if (backend) return backend;
  backend = std::make_shared<ProxyBackend>();
  backend->uid = uid;
  backend->name = protocol::parse_key("uid " + uid);  // the prefix ensures a hash, never a parsed number
  backend->disabled_by_operator = disabled_.contains(uid);
  return backend;
}

unsigned EndpointRegistry::zone_number(const std::string& name) {
  const auto found = std::find(zone_names_.begin(), zone_names_.end(), name);
  const auto number = static_cast<unsigned>(found - zone_names_.begin());
  if (found == zone_names_.end()) zone_names_.push_back(name);
  return number;
}

}  // namespace cherryrail::proxy
