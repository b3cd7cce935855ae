// The backends that operators have disabled, as a set in a small file that all processes of a relay share.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <system_error>

namespace cherryrail::admin {

// Why the file could not be used.
struct StorageError {
  enum class Operation : std::uint8_t { read, parse, write };

  Operation operation = Operation::read;
  std::string path;
  std::error_code code;  // of the system call that failed; none for a file that is damaged
  std::string detail;    // where and how a damaged file is wrong

  // For the log: the path and the reason.
  [[nodiscard]] std::string message() const;
  bool operator==(const StorageError&) const = default;
};

// The set in this process, and the file behind it. Several processes may change the file at once: a lock
// beside it keeps one from losing what the other has stored. A change that the file does not take holds in
// this process and is kept until the file takes it.
class DisabledBackends {
 public:
  // Reads the file. With an empty path nothing is kept beyond this process.
  explicit DisabledBackends(std::string path);

  // Whether each of these backends is disabled, by uid.
  using Changes = std::map<std::string, bool>;

  // The uids of the backends.
  [[nodiscard]] const std::set<std::string>& names() const { return names_; }
  // True if the file had changed and was read. False if it had not, or cannot be used: then error() tells why
  // and the names stay as they were.
  bool reload_if_changed();
  // Adds or removes one backend, here and in the file. False if the file could not be written: then the
  // change holds for this process alone until it can be, and error() tells why.
  bool set_disabled(const std::string& name, bool is_disabled);
  // Tries again to write what could not be written. True if nothing is left.
  bool store_pending_changes();
  // What the file does not have yet.
  [[nodiscard]] const Changes& pending_changes() const { return pending_changes_; }
  // Of the last use of the file; none if that went well.
  [[nodiscard]] const std::optional<StorageError>& error() const { return error_; }

 private:
  // Tells one state of the file from another without reading it.
  struct FileVersion {
    std::uint64_t inode = 0;
    std::int64_t modified_seconds = 0;
    std::int64_t modified_nanoseconds = 0;
    std::int64_t size = -1;  // -1 if there is no file
    bool operator==(const FileVersion&) const = default;
  };

  [[nodiscard]] FileVersion current_version() const;
  bool load();
  void apply_pending_changes();
  [[nodiscard]] std::error_code store() const;

  std::string path_;
  std::set<std::string> names_;
  Changes pending_changes_;
  std::optional<StorageError> error_;
  std::optional<FileVersion> loaded_version_ = FileVersion{};  // none if the file could not be read
};

}  // namespace cherryrail::admin
