#include "admin/hot_restart_socket.hpp"

#include <fcntl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <cstdio>
#include <utility>

namespace cherryrail::admin {
namespace {

// Usually at most two processes of a relay run at once; a larger backlog allows for restarts in quick
// succession.
constexpr int kListenBacklog = 4;

net::FileDescriptor open_folder(const std::string& folder) {
  if (folder.empty()) return {};
  return net::FileDescriptor(::open(folder.c_str(), O_PATH | O_DIRECTORY | O_CLOEXEC));
}

net::FileDescriptor open_socket() {
  return net::FileDescriptor(socket(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
}

// The path of a Unix socket is limited to 108 bytes, but a folder's path is not. So the folder is addressed
// by its descriptor.
sockaddr_un address_in(const net::FileDescriptor& folder, const std::string& name) {
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  std::snprintf(address.sun_path, sizeof(address.sun_path), "/proc/self/fd/%d/%s", folder.get(),
                name.c_str());
  return address;
}

bool bind_to(const net::FileDescriptor& socket, const sockaddr_un& address) {
  return bind(socket.get(), reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
}

bool connect_to(const net::FileDescriptor& socket, const sockaddr_un& address) {
  return connect(socket.get(), reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
}

// Returns 0 if there is no such file.
ino_t inode_of(const net::FileDescriptor& folder, const std::string& name) {
  struct stat file {};
  return fstatat(folder.get(), name.c_str(), &file, 0) == 0 ? file.st_ino : 0;
}

}  // namespace

HotRestartSocket::HotRestartSocket(const std::string& folder, std::string_view name)
    : folder_(open_folder(folder)), name_(name) {}

// Binds the socket under a name of this process, then renames it over the predecessor's file, so that the
// shared name always leads to a socket.
bool HotRestartSocket::announce() {
  if (!folder_) return false;
  net::FileDescriptor socket = open_socket();
  const std::string own_name = name_ + "." + std::to_string(getpid());
  const sockaddr_un address = address_in(folder_, own_name);
  unlinkat(folder_.get(), own_name.c_str(), 0);
  if (!socket || !bind_to(socket, address)) return false;
  if (listen(socket.get(), kListenBacklog) != 0) return false;
  if (renameat(folder_.get(), own_name.c_str(), folder_.get(), name_.c_str()) != 0) return false;
  listening_ = std::move(socket);
  own_inode_ = inode_of(folder_, name_);
  return true;
}

std::optional<HandoverChannel> HotRestartSocket::connect_to_successor() const {
  if (!folder_ || inode_of(folder_, name_) == own_inode_) return std::nullopt;
  net::FileDescriptor socket = open_socket();
  if (!socket || !connect_to(socket, address_in(folder_, name_))) return std::nullopt;
  return HandoverChannel(std::move(socket));
}

std::optional<HandoverChannel> HotRestartSocket::accept() const {
  net::FileDescriptor socket(accept4(listening_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (!socket) return std::nullopt;
  HandoverChannel channel(std::move(socket));
  // A peer of another user is refused: otherwise any user who can write to the folder could hand over
  // connections.
  if (!channel.peer_process()) return std::nullopt;
  return channel;
}

}  // namespace cherryrail::admin
