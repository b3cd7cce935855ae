// The process's limit on open descriptors.
#pragma once

#include <cstddef>

namespace cherryrail::config {

// Raises the limit as far as is wanted and the system allows; returns how many of the wanted descriptors the
// process may hold then. Called at the start and after the configuration is read again.
std::size_t raise_descriptor_limit(std::size_t wanted);

}  // namespace cherryrail::config
