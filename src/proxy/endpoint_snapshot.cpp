#include "proxy/endpoint_snapshot.hpp"

namespace cherryrail::proxy {

// As in EndpointRegistry::apply(): a list with skipped entries removes no backend, since their uids are
// unknown.
void EndpointListRecord::apply(const protocol::EndpointList& list) {
  version_ = list.version;
  if (list.is_complete && list.skipped_entries == 0) entries_.clear();
  for (const protocol::EndpointEntry& entry : list.entries) {
    if (entry.state == EndpointState::gone)
      entries_.erase(entry.uid);
    else
      entries_[entry.uid] = entry;
  }
}

protocol::EndpointList EndpointListRecord::complete_list() const {
  protocol::EndpointList list;
  list.version = version_;
  list.is_complete = true;
  for (const auto& [uid, entry] : entries_) list.entries.push_back(entry);
  return list;
}

}  // namespace cherryrail::proxy
