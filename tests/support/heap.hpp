// The amount of heap memory in use, for tests of memory bounds.
#pragma once

#include <malloc.h>

#include <cstddef>

#if defined(__SANITIZE_ADDRESS__)
// Declared here because GCC comes without the header sanitizer/allocator_interface.h.
extern "C" std::size_t __sanitizer_get_current_allocated_bytes();  // NOLINT(bugprone-reserved-identifier)
#endif

namespace cherryrail::testing {

// Bytes that are allocated and not yet freed. AddressSanitizer replaces the allocator, so it is asked
// instead.
inline std::size_t allocated_heap_bytes() {
#if defined(__SANITIZE_ADDRESS__)
  return __sanitizer_get_current_allocated_bytes();
#else
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
#endif
}

}  // namespace cherryrail::testing
