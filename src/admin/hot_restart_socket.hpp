// The Unix socket by which the processes of one relay find each other for a hot restart.
#pragma once

#include <sys/types.h>

#include <optional>
#include <string>
#include <string_view>

#include "admin/handover_channel.hpp"
#include "net/file_descriptor.hpp"

namespace cherryrail::admin {

// A Unix socket file in a folder that the relay's processes share. It belongs to the process that announced
// itself last, which is the serving process. The file need not be removed at the end: connecting to the
// socket of a process that has died fails.
class HotRestartSocket {
 public:
  // With an empty `folder` there is no hot restart: announce() fails and no successor is found.
  HotRestartSocket(const std::string& folder, std::string_view name);

  // Makes this process the serving process. Returns false if the socket cannot be created.
  [[nodiscard]] bool announce();
  // Returns none if this is the serving process, or if there is none.
  [[nodiscard]] std::optional<HandoverChannel> connect_to_successor() const;
  // Returns the next connection to this process; none if none is waiting or the peer runs as another user.
  [[nodiscard]] std::optional<HandoverChannel> accept() const;
  // The listening socket, for I/O watches; negative before announce().
  [[nodiscard]] int descriptor() const { return listening_.get(); }

 private:
  net::FileDescriptor folder_;
  net::FileDescriptor listening_;
  std::string name_;
  ino_t own_inode_ = 0;  // of this process's socket file; 0 before announce()
};

}  // namespace cherryrail::admin
