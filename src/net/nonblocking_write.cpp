#include "net/nonblocking_write.hpp"

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <string>

namespace cherryrail::net {
namespace {

bool can_write_now(int fd) {
  pollfd target{fd, POLLOUT, 0};
  const int ready = poll(&target, 1, 0);
  if (ready < 0) return true;  // unknown: the write reports any error
  return ready > 0 && (target.revents & POLLOUT) != 0;
}

ssize_t write_now(int fd, std::string_view text) {
  ssize_t written = 0;
  do {
    written = ::write(fd, text.data(), text.size());
  } while (written < 0 && errno == EINTR);
  return written;
}

ssize_t send_now(int fd, std::string_view text) {
  ssize_t sent = 0;
  do {
    sent = ::send(fd, text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  } while (sent < 0 && errno == EINTR);
  return sent;
}

// Between poll and write, another process may fill a pipe that both write to. So the pipe is opened once
// more, with a flag of its own.
ssize_t write_to_pipe(int fd, std::string_view text) {
  const std::string path = "/proc/self/fd/" + std::to_string(fd);
  const int own_fd = ::open(path.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
  if (own_fd < 0) return write_now(fd, text);  // for want of a descriptor or of the permission
  const ssize_t written = write_now(own_fd, text);
  ::close(own_fd);
  return written;
}

}  // namespace

bool write_without_waiting(int fd, std::string_view text) {
  if (!can_write_now(fd)) return false;
  struct stat status {};
  const mode_t type = ::fstat(fd, &status) == 0 ? status.st_mode & S_IFMT : mode_t{};
  ssize_t written = 0;
  if (type == S_IFSOCK)
    written = send_now(fd, text);
  else if (type == S_IFIFO)
    written = write_to_pipe(fd, text);
  else
    written = write_now(fd, text);
  return written == static_cast<ssize_t>(text.size());
}

}  // namespace cherryrail::net
