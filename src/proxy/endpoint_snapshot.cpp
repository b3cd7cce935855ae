#include "proxy/endpoint_snapshot.hpp"

#include <utility>

namespace cherryrail::proxy {

// As in EndpointRegistry::apply(): a list with skipped entries removes no backend, since their uids are
// unknown.
bool EndpointListRecord::apply(const protocol::EndpointList& list) {
  const bool removes_unlisted = list.is_complete && list.skipped_entries == 0;
  Entries entries = removes_unlisted ? Entries() : entries_;
  for (const protocol::EndpointEntry& entry : list.entries) {
    if (entry.state == EndpointState::gone)
      entries.erase(entry.uid);
    else
      entries[entry.uid] = entry;
  }
  const bool is_changed = list.version != version_ || entries != entries_;
  version_ = list.version;
  entries_ = std::move(entries);
  return is_changed;
}

protocol::EndpointList EndpointListRecord::changes_to(const protocol::EndpointList& complete) const {
  protocol::EndpointList changes;
  changes.version = complete.version;
  Entries unlisted = entries_;
  for (const protocol::EndpointEntry& entry : complete.entries) {
    const auto known = entries_.find(entry.uid);
    const bool is_unchanged = known != entries_.end() && known->second == entry;
    if (!is_unchanged) changes.entries.push_back(entry);
    unlisted.erase(entry.uid);
  }
  for (auto& [uid, entry] : unlisted) {
    entry.state = EndpointState::gone;
    changes.entries.push_back(std::move(entry));
  }
  return changes;
}

protocol::EndpointList EndpointListRecord::complete_list() const {
  protocol::EndpointList list;
  list.version = version_;
  list.is_complete = true;
  for (const auto& [uid, entry] : entries_) list.entries.push_back(entry);
  return list;
}

}  // namespace cherryrail::proxy
