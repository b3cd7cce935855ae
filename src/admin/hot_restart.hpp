// Two processes that stand in for one relay, one after the other: how the first learns that the next serves,
// and how it gives that one what it holds.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "net/file_descriptor.hpp"
#include "proxy/handover_message.hpp"

namespace cherryrail::admin {

// A name in the shared folder, bound to a socket of the process that announced itself last. It needs no
// cleaning up: nobody answers at the name of a process that has died.
class HotRestart {
 public:
  // Without a folder there is no succession.
  HotRestart(const std::string& folder, const std::string& name);

  // From now on this process is the one that serves. False if it cannot be said.
  bool announce();
  // A connection to the process that has announced itself, if that is another than this one.
  net::FileDescriptor successor() const;
  int listening() const { return listening_.get(); }

 private:
  net::FileDescriptor folder_, listening_;
  std::string name_;
  unsigned long long own_ = 0;  // the file that is this process's own
};

// The process at the other end, 0 if it is this one; nothing if it is another user's. And how many
// descriptors a process holds.
std::optional<int> peer_of(const net::FileDescriptor& connection);
std::size_t descriptors_of(int process);

// One message between the two, with its descriptors.
enum class Gave : std::uint8_t { yes, later, never };  // never: nobody is there any more
Gave give(const net::FileDescriptor& to, const proxy::HandoverMessage& handed);
// Empty if there is nothing now; `over` tells whether there will be more. The descriptors are the caller's.
std::optional<proxy::HandoverMessage> taken(const net::FileDescriptor& from, bool& over);

}  // namespace cherryrail::admin
