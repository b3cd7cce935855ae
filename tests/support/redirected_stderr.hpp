// Redirection of standard error in tests.
#pragma once

#include <unistd.h>

namespace cherryrail::testing {

// Redirects the process's standard error to another descriptor, which it takes over, until it is destroyed.
class RedirectedStderr {
 public:
  explicit RedirectedStderr(int target) : saved_(dup(STDERR_FILENO)) {
    dup2(target, STDERR_FILENO);
    close(target);
  }
  ~RedirectedStderr() {
    dup2(saved_, STDERR_FILENO);
    close(saved_);
  }
  RedirectedStderr(const RedirectedStderr&) = delete;
  RedirectedStderr& operator=(const RedirectedStderr&) = delete;

 private:
  int saved_;
};

}  // namespace cherryrail::testing
