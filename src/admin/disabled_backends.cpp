#include "admin/disabled_backends.hpp"

#include <sys/stat.h>

#include <cstddef>
#include <nlohmann/json.hpp>
#include <utility>

#include "net/file_descriptor.hpp"

namespace cherryrail::admin {
namespace {

// Enough for some ten thousand uids; a relay does not write longer files.
constexpr std::size_t kMaxFileBytes = std::size_t{1} << 20;
// The only key of the file. Earlier and later builds share the file, so the key must not change.
constexpr const char* kUidsKey = "bans";

}  // namespace

DisabledBackends::DisabledBackends(std::string path) : path_(std::move(path)) { reload_if_changed(); }

DisabledBackends::FileVersion DisabledBackends::current_version() const {
  struct stat file {};
  if (path_.empty() || stat(path_.c_str(), &file) != 0) return {};
  return {file.st_ino, file.st_mtim.tv_sec, file.st_mtim.tv_nsec, file.st_size};
}

bool DisabledBackends::reload_if_changed() {
  const FileVersion version = current_version();
  if (version == loaded_version_) return false;
  loaded_version_ = version;
  return load();
}

// A damaged or unreadable file must neither end the process nor enable a backend again: the set stays as it
// was, and the file is read again at the next call.
bool DisabledBackends::load() {
  const bool is_expected_to_exist = loaded_version_->size >= 0;
  error_.reset();
  const FileContent file = read_file(path_, kMaxFileBytes);
  if (!file.text) {
    if (!is_expected_to_exist) return false;
    error_ = StorageError{StorageError::Operation::read, path_, file.error, ""};
    loaded_version_.reset();
    return false;
  }
  try {
    uids_ = nlohmann::json::parse(*file.text).at(kUidsKey).get<std::set<std::string>>();
  } catch (const nlohmann::json::exception& error) {
    error_ = StorageError{StorageError::Operation::parse, path_, {}, error.what()};
    loaded_version_.reset();
    return false;
  }
  apply_pending_changes();
  return true;
}

// Changes that are not stored yet take precedence over the file.
void DisabledBackends::apply_pending_changes() {
  for (const auto& [uid, is_disabled] : pending_changes_) {
    if (is_disabled)
      uids_.insert(uid);
    else
      uids_.erase(uid);
  }
}

bool DisabledBackends::set_disabled(const std::string& uid, bool is_disabled) {
  reload_if_changed();
  if (uids_.contains(uid) == is_disabled && pending_changes_.empty() && !error_) return true;
  pending_changes_[uid] = is_disabled;
  apply_pending_changes();
  return store_pending_changes();
}

bool DisabledBackends::store_pending_changes() {
  if (path_.empty()) pending_changes_.clear();
  if (pending_changes_.empty()) return true;
  // Held while the file is read, changed and replaced: another process may handle an operator's request at
  // the same time, and its change must not be overwritten.
  const net::FileDescriptor lock = lock_file(path_ + ".lock");
  reload_if_changed();
  if (const std::error_code code = store()) {
    error_ = StorageError{StorageError::Operation::write, path_, code, ""};
    return false;
  }
  error_.reset();
  pending_changes_.clear();
  loaded_version_ = current_version();
  return true;
}

std::error_code DisabledBackends::store() const {
  return replace_file(path_, nlohmann::json{{kUidsKey, uids_}}.dump() + "\n", FileSync::disk);
}

}  // namespace cherryrail::admin
