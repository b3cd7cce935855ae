// Standard error in a test's hands.
#pragma once

#include <unistd.h>

namespace cherryrail::testing {

// While it lives, what the process writes to standard error goes to another descriptor, which it owns.
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
