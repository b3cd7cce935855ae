// Ownership of a file descriptor.
#pragma once

#include <unistd.h>

#include <utility>

namespace cherryrail::net {

// Closes its descriptor on destruction. Empty, with a descriptor below 0, after a move or if constructed from
// the result of a failed call.
class FileDescriptor {
 public:
  FileDescriptor() = default;
  explicit FileDescriptor(int fd) : fd_(fd) {}
  FileDescriptor(const FileDescriptor&) = delete;
  FileDescriptor& operator=(const FileDescriptor&) = delete;
  FileDescriptor(FileDescriptor&& other) noexcept : fd_(other.release()) {}
  // `other` receives the previous descriptor and closes it.
  FileDescriptor& operator=(FileDescriptor&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }
  ~FileDescriptor() {
    if (fd_ >= 0) close(fd_);
  }

  // The descriptor, which this object still owns; below 0 if empty.
  [[nodiscard]] int get() const { return fd_; }
  // Passes the ownership of the descriptor to the caller.
  [[nodiscard]] int release() { return std::exchange(fd_, -1); }
  explicit operator bool() const { return fd_ >= 0; }

 private:
  int fd_ = -1;
};

}  // namespace cherryrail::net
