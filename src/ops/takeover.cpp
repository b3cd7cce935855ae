#include "ops/takeover.hpp"

#include <fcntl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <cstdio>
#include <cstring>
#include <utility>

namespace cherryrail::ops {
namespace {

// The names of sockets are short, those of folders need not be: so the folder is named by its descriptor.
sockaddr_un address_of(const Handle& folder, const std::string& name) {
  sockaddr_un at{};
  at.sun_family = AF_UNIX;
  std::snprintf(at.sun_path, sizeof(at.sun_path), "/proc/self/fd/%d/%s", folder.get(), name.c_str());
  return at;
}

// 0 if there is none.
unsigned long long inode_of(const Handle& folder, const std::string& name) {
  struct stat file {};
  return fstatat(folder.get(), name.c_str(), &file, 0) == 0 ? file.st_ino : 0;
}

Handle unix_socket() { return Handle(socket(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC | SOCK_NONBLOCK, 0)); }

}  // namespace

Handle::Handle(Handle&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}

Handle& Handle::operator=(Handle&& other) noexcept {
  std::swap(fd_, other.fd_);
  return *this;
}

Handle::~Handle() {
  if (fd_ >= 0) close(fd_);
}

Succession::Succession(const std::string& folder, const std::string& name)
    : folder_(folder.empty() ? -1 : open(folder.c_str(), O_PATH | O_DIRECTORY | O_CLOEXEC)), name_(name) {}

// Bound under a name of its own, then renamed over the former one's: at no moment does nobody answer.
bool Succession::announce() {
  if (!folder_) return false;
  Handle fresh = unix_socket();
  const std::string own = name_ + "." + std::to_string(getpid());
  const sockaddr_un at = address_of(folder_, own);
  unlinkat(folder_.get(), own.c_str(), 0);
  if (!fresh || bind(fresh.get(), reinterpret_cast<const sockaddr*>(&at), sizeof(at)) != 0 ||
      listen(fresh.get(), 4) != 0 || renameat(folder_.get(), own.c_str(), folder_.get(), name_.c_str()) != 0)
    return false;
  listening_ = std::move(fresh);
  own_ = inode_of(folder_, name_);
  return true;
}

Handle Succession::heir() const {
  if (!folder_ || inode_of(folder_, name_) == own_) return Handle();
  Handle there = unix_socket();
  const sockaddr_un at = address_of(folder_, name_);
  if (!there || connect(there.get(), reinterpret_cast<const sockaddr*>(&at), sizeof(at)) != 0)
    return Handle();
  return there;
}

}  // namespace cherryrail::ops
