// Writes to a descriptor that other processes may share, without waiting for its reader.
#pragma once

#include <climits>
#include <cstddef>
#include <string_view>

namespace cherryrail::net {

// The longest text that a pipe takes whole or not at all, in bytes.
constexpr std::size_t kMaxAtomicWrite = PIPE_BUF;

// Writes `text` as a whole, without waiting. Returns false if it was not written or only in part. A text of
// up to kMaxAtomicWrite bytes is never written in part to a pipe. A regular file may still take the time of
// its disk. The descriptor's own flags stay as they are, since other processes may share them.
bool write_without_waiting(int fd, std::string_view text);

}  // namespace cherryrail::net
