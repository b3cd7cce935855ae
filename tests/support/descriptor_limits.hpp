// Helpers for tests that change the process's limit on open descriptors.
#pragma once

#include <sys/resource.h>
#include <unistd.h>

namespace cherryrail::testing {

// Restores the limit in its destructor: a relay sets the limit when it reads its configuration, and other
// tests may run in the same process.
class DescriptorLimitScope {
 public:
  DescriptorLimitScope() { getrlimit(RLIMIT_NOFILE, &before_); }
  ~DescriptorLimitScope() { setrlimit(RLIMIT_NOFILE, &before_); }
  DescriptorLimitScope(const DescriptorLimitScope&) = delete;
  DescriptorLimitScope& operator=(const DescriptorLimitScope&) = delete;

  rlim_t hard_limit() const { return before_.rlim_max; }

 private:
  rlimit before_{};
};

// As long as this object exists, the process cannot open another descriptor.
class NoDescriptorsLeft {
 public:
  NoDescriptorsLeft() {
    const int lowest_free = dup(STDIN_FILENO);
    close(lowest_free);
    const rlimit none_left{static_cast<rlim_t>(lowest_free), scope_.hard_limit()};
    setrlimit(RLIMIT_NOFILE, &none_left);
  }

 private:
  DescriptorLimitScope scope_;
};

}  // namespace cherryrail::testing
