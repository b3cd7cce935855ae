// Ownership of a file descriptor.
#pragma once

#include <unistd.h>

#include <utility>

namespace cherryrail::net {

// Closes its descriptor when it ends. Empty, a descriptor below 0, if it was moved from or given a failed
// call's result.
class FileDescriptor {
 public:
  FileDescriptor() = default;
  explicit FileDescriptor(int fd) : fd_(fd) {}
  FileDescriptor(const FileDescriptor&) = delete;
  FileDescriptor& operator=(const FileDescriptor&) = delete;
  FileDescriptor(FileDescriptor&& other) noexcept : fd_(other.release()) {}
  // The former descriptor is closed with `other`.
  FileDescriptor& operator=(FileDescriptor&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }
  ~FileDescriptor() {
    if (fd_ >= 0) close(fd_);
  }

  // Still owned by this object; below 0 if there is none.
  [[nodiscard]] int get() const { return fd_; }
  // From now on the caller's to close.
  [[nodiscard]] int release() { return std::exchange(fd_, -1); }
  explicit operator bool() const { return fd_ >= 0; }

 private:
  int fd_ = -1;
};

}  // namespace cherryrail::net
