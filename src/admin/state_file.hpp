// Files that the processes of a relay share in the state directory.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

#include "net/file_descriptor.hpp"

namespace cherryrail::admin {

// Why the file could not be used.
struct StorageError {
  enum class Operation : std::uint8_t { read, parse, write };

  Operation operation = Operation::read;
  std::string path;
  std::error_code code;  // of the failed system call; none for a damaged file
  std::string detail;    // the parse error of a damaged file

  // For the log: the path and the reason.
  [[nodiscard]] std::string message() const;
  bool operator==(const StorageError&) const = default;
};

struct FileContent {
  std::optional<std::string> text;
  std::error_code error;  // why there is no text, also if there is no file
};

// Reads at most `max_bytes`.
FileContent read_file(const std::string& path, std::size_t max_bytes);

// Whether replace_file() waits until the disk has the new content. Without, it survives the process only.
enum class FileSync : std::uint8_t { none, disk };

// Writes the text under another name, then renames it: if the process dies meanwhile, the old file is kept.
// The caller holds the file's lock.
std::error_code replace_file(const std::string& path, std::string_view text, FileSync sync);

// Locks the file at `path`, which is created if it is missing, until the descriptor is closed. Another
// process that holds it is waited for briefly, then the call returns without the lock: a process that was
// suspended while it held the lock must not block this one.
net::FileDescriptor lock_file(const std::string& path);

}  // namespace cherryrail::admin
