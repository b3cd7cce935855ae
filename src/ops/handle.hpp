// A descriptor that is closed with its owner.
#pragma once

#include <unistd.h>

#include <utility>

namespace cherryrail::ops {

class Handle {
 public:
  explicit Handle(int fd = -1) : fd_(fd) {}
  Handle(Handle&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Handle& operator=(Handle&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }
  ~Handle() {
    if (fd_ >= 0) close(fd_);
  }
  int get() const { return fd_; }
  explicit operator bool() const { return fd_ >= 0; }

 private:
  int fd_;
};

}  // namespace cherryrail::ops
