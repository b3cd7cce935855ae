#include "admin/state_file.hpp"

#include <fcntl.h>
#include <poll.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <fstream>
#include <utility>

namespace cherryrail::admin {
namespace {

constexpr mode_t kOwnerOnly = 0600;
// Another process holds the lock while it writes the file, which takes one or two milliseconds.
constexpr int kLockAttempts = 20;
constexpr int kLockPauseMilliseconds = 1;

std::error_code last_system_error() { return {errno, std::generic_category()}; }

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

std::error_code write_file(const std::string& path, std::string_view text, FileSync sync) {
  net::FileDescriptor file(open(path.c_str(), O_CREAT | O_TRUNC | O_WRONLY | O_CLOEXEC, kOwnerOnly));
  if (!file) return last_system_error();
  if (const std::error_code code = write_all(file.get(), text)) return code;
  if (sync == FileSync::disk && fsync(file.get()) != 0) return last_system_error();
  if (close(file.release()) != 0) return last_system_error();
  return {};
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

FileContent read_file(const std::string& path, std::size_t max_bytes) {
  std::ifstream file(path, std::ios::binary | std::ios::ate);
  if (!file) return {{}, last_system_error()};
  const std::streamoff size = std::max<std::streamoff>(0, file.tellg());
  std::string text(std::min(max_bytes, static_cast<std::size_t>(size)), '\0');
  file.seekg(0);
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  const bool is_complete = static_cast<std::size_t>(file.gcount()) == text.size();
  if (!is_complete) return {{}, make_error_code(std::errc::io_error)};
  return {std::move(text), {}};
}

std::error_code replace_file(const std::string& path, std::string_view text, FileSync sync) {
  const std::string new_path = path + ".new";
  if (const std::error_code code = write_file(new_path, text, sync)) return code;
  if (std::rename(new_path.c_str(), path.c_str()) != 0) return last_system_error();
  return {};
}

net::FileDescriptor lock_file(const std::string& path) {
  net::FileDescriptor lock(open(path.c_str(), O_CREAT | O_RDWR | O_CLOEXEC, kOwnerOnly));
  for (int attempt = 0; lock && attempt < kLockAttempts; ++attempt) {
    if (flock(lock.get(), LOCK_EX | LOCK_NB) == 0) break;
    poll(nullptr, 0, kLockPauseMilliseconds);
  }
  return lock;
}

}  // namespace cherryrail::admin
