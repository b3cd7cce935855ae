// The set of backends that operators have disabled, stored in a file that all processes of a relay share.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <system_error>

#include "admin/state_file.hpp"

namespace cherryrail::admin {

// The set in this process and its file. Several processes may change the file at once; a lock file prevents
// one from overwriting what the other has stored. A change that cannot be stored applies in this process and
// stays pending until the file can be written.
class DisabledBackends {
 public:
  // Reads the file. With an empty path, the set is not stored.
  explicit DisabledBackends(std::string path);

  // Whether each of these backends is disabled, by uid.
  using Changes = std::map<std::string, bool>;

  // The uids of the backends.
  [[nodiscard]] const std::set<std::string>& uids() const { return uids_; }
  // Returns true if the file has changed and was read, false if it is unchanged or cannot be used. In the
  // latter case error() has the reason and the set stays as it was.
  bool reload_if_changed();
  // Adds or removes one backend, in this process and in the file. Returns false if the file could not be
  // written: error() has the reason, and the change applies in this process only until it can be stored.
  bool set_disabled(const std::string& uid, bool is_disabled);
  // Tries again to store the pending changes. Returns true if none is left.
  bool store_pending_changes();
  // The changes that are not stored in the file yet.
  [[nodiscard]] const Changes& pending_changes() const { return pending_changes_; }
  // The error of the last use of the file; none if it succeeded.
  [[nodiscard]] const std::optional<StorageError>& error() const { return error_; }

 private:
  // Detects changes of the file without reading it.
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
  std::set<std::string> uids_;
  Changes pending_changes_;
  std::optional<StorageError> error_;
  std::optional<FileVersion> loaded_version_ = FileVersion{};  // none if the file could not be read
};

}  // namespace cherryrail::admin
