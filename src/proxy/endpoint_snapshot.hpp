// What a relay process has been told of its backends, for the process that takes its place.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "protocol/endpoint_list.hpp"

namespace cherryrail::proxy {

struct EndpointSnapshot {
  protocol::EndpointList list;  // complete
  // The highest version of any list received. Higher than the version of `list` if discovery has restarted
  // its version counter since.
  std::int64_t highest_version = 0;
};

// Puts the complete endpoint list together from the lists received: complete ones and changes.
class EndpointListRecord {
 public:
  // Returns whether the list has changed anything, also if only the version.
  bool apply(const protocol::EndpointList& list);
  [[nodiscard]] protocol::EndpointList complete_list() const;
  // The changes that lead from this list to `complete`.
  [[nodiscard]] protocol::EndpointList changes_to(const protocol::EndpointList& complete) const;

 private:
  using Entries = std::map<std::string, protocol::EndpointEntry, std::less<>>;

  std::int64_t version_ = 0;
  Entries entries_;  // by uid, without those gone
};

}  // namespace cherryrail::proxy
