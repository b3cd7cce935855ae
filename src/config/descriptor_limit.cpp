#include "config/descriptor_limit.hpp"

#include <sys/resource.h>

#include <algorithm>

namespace cherryrail::config {

std::size_t raise_descriptor_limit(std::size_t requested) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return requested;
  limit.rlim_cur = std::min<rlim_t>(requested, limit.rlim_max);
  if (setrlimit(RLIMIT_NOFILE, &limit) != 0) getrlimit(RLIMIT_NOFILE, &limit);
  return std::min<std::size_t>(requested, limit.rlim_cur);
}

}  // namespace cherryrail::config
