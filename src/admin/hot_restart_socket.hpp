// How the processes of one relay find each other at a hot restart.
#pragma once

#include <sys/types.h>

#include <optional>
#include <string>
#include <string_view>

#include "admin/handover_channel.hpp"
#include "net/file_descriptor.hpp"

namespace cherryrail::admin {

// A name in a folder that the relay's processes share, bound to a Unix socket of the process that announced
// itself last: the one that serves. Nothing has to be removed at the end, since nobody answers at the name of
// a process that has died.
class HotRestartSocket {
 public:
  // With an empty `folder` there is no hot restart: announce() fails and no successor is found.
  HotRestartSocket(const std::string& folder, std::string_view name);

  // From now on this process is the one that serves. False if that cannot be told to the others.
  [[nodiscard]] bool announce();
  // None if this process serves, or if no process does.
  [[nodiscard]] std::optional<HandoverChannel> connect_to_successor() const;
  // The next connection to this process; none if nobody waits or the other is another user's process.
  [[nodiscard]] std::optional<HandoverChannel> accept() const;
  // To be watched for connections; below 0 before announce().
  [[nodiscard]] int descriptor() const { return listening_.get(); }

 private:
  net::FileDescriptor folder_;
  net::FileDescriptor listening_;
  std::string name_;
  ino_t own_inode_ = 0;  // of this process's socket file; 0 before announce()
};

}  // namespace cherryrail::admin
