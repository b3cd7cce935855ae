#include "admin/disabled_backends.hpp"

#include <fcntl.h>
#include <poll.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstddef>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "net/file_descriptor.hpp"

namespace cherryrail::admin {
namespace {

// Enough for some ten thousand uids; a relay does not write longer files.
constexpr std::size_t kMaxFileBytes = std::size_t{1} << 20;
constexpr mode_t kOwnerOnly = 0600;
// Another process holds the lock while it writes the file, which takes one or two milliseconds.
constexpr int kLockAttempts = 20;
constexpr int kLockPauseMilliseconds = 1;
// The only key of the file. Earlier and later builds share the file, so the key must not change.
constexpr const char* kUidsKey = "bans";

std::error_code last_system_error() { return {errno, std::generic_category()}; }

std::string read_text(std::ifstream& file) {
  std::string text(kMaxFileBytes, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<std::size_t>(file.gcount()));
  return text;
}

// write() may write a part only, or be interrupted.
std::error_code write_all(int fd, std::string_view text) {
  while (!text.empty()) {
    const ssize_t written = write(fd, text.data(), text.size());
    if (written < 0 && errno == EINTR) continue;
    if (written < 0) return last_system_error();
    if (written == 0) return make_error_code(std::errc::no_space_on_device);
    text.remove_prefix(static_cast<std::size_t>(written));
  }
  return {};
}

// Syncs the file to disk, because it replaces another file next.
std::error_code write_file(const std::string& path, std::string_view text) {
  net::FileDescriptor file(open(path.c_str(), O_CREAT | O_TRUNC | O_WRONLY | O_CLOEXEC, kOwnerOnly));
  if (!file) return last_system_error();
  if (const std::error_code code = write_all(file.get(), text)) return code;
  if (fsync(file.get()) != 0) return last_system_error();
  if (close(file.release()) != 0) return last_system_error();
  return {};
}

// Proceeds without the lock after a short wait: a process that was suspended while it held the lock must not
// block this one.
net::FileDescriptor lock_file(const std::string& path) {
  net::FileDescriptor lock(open(path.c_str(), O_CREAT | O_RDWR | O_CLOEXEC, kOwnerOnly));
  for (int attempt = 0; lock && attempt < kLockAttempts; ++attempt) {
    if (flock(lock.get(), LOCK_EX | LOCK_NB) == 0) break;
    poll(nullptr, 0, kLockPauseMilliseconds);
  }
  return lock;
}

}  // namespace

std::string StorageError::message() const {
  switch (operation) {
    case Operation::read:
      return path + " cannot be read";
    case Operation::parse:
      return path + " is damaged: " + detail;
    case Operation::write:
      return path + " cannot be written: " + code.message();
  }
  return path;
}

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
  std::ifstream file(path_);
  if (!file) {
    const std::error_code code = last_system_error();
    if (!is_expected_to_exist) return false;
    error_ = StorageError{StorageError::Operation::read, path_, code, ""};
    loaded_version_.reset();
    return false;
  }
  try {
    uids_ = nlohmann::json::parse(read_text(file)).at(kUidsKey).get<std::set<std::string>>();
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

// Writes the file under another name, then renames it: if the process dies meanwhile, the old file is kept.
std::error_code DisabledBackends::store() const {
  const std::string new_path = path_ + ".new";
  const std::string text = nlohmann::json{{kUidsKey, uids_}}.dump() + "\n";
  if (const std::error_code code = write_file(new_path, text)) return code;
  if (std::rename(new_path.c_str(), path_.c_str()) != 0) return last_system_error();
  return {};
}

}  // namespace cherryrail::admin
