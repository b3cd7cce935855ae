// The process's limit on open file descriptors (RLIMIT_NOFILE).
#pragma once

#include <cstddef>

namespace cherryrail::config {

// Raises the soft limit to `requested` descriptors, capped at the hard limit. Returns how many of the
// requested descriptors the process may open. Called at startup and after each configuration reload.
std::size_t raise_descriptor_limit(std::size_t requested);

}  // namespace cherryrail::config
