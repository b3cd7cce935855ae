// A descriptor that is closed with its owner.
#pragma once

#include <unistd.h>

#include <utility>

namespace cherryrail::net {

class FileDescriptor {
 public:
  explicit FileDescriptor(int fd = -1) : fd_(fd) {}
  FileDescriptor(FileDescriptor&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  FileDescriptor& operator=(FileDescriptor&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }
  ~FileDescriptor() {
    if (fd_ >= 0) close(fd_);
  }
  int get() const { return fd_; }
  explicit operator bool() const { return fd_ >= 0; }

 private:
  int fd_;
};

}  // namespace cherryrail::net
