// The process's limit on descriptors in a test's hands.
#pragma once

#include <sys/resource.h>
#include <unistd.h>

namespace cherryrail::testing {

// Puts the limit back when it ends: a relay that reads its configuration sets it, and other tests may share
// the process.
class DescriptorLimitScope {
 public:
  DescriptorLimitScope() { getrlimit(RLIMIT_NOFILE, &before_); }
  ~DescriptorLimitScope() { setrlimit(RLIMIT_NOFILE, &before_); }
  DescriptorLimitScope(const DescriptorLimitScope&) = delete;
  DescriptorLimitScope& operator=(const DescriptorLimitScope&) = delete;

  rlim_t highest() const { return before_.rlim_max; }

 private:
  rlimit before_{};
};

// While it lives, this process can open nothing more.
class NoDescriptorsLeft {
 public:
  NoDescriptorsLeft() {
    const int lowest_free = dup(STDIN_FILENO);
    close(lowest_free);
    const rlimit none_left{static_cast<rlim_t>(lowest_free), scope_.highest()};
    setrlimit(RLIMIT_NOFILE, &none_left);
  }

 private:
  DescriptorLimitScope scope_;
};

}  // namespace cherryrail::testing
