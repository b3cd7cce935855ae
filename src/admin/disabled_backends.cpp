#include "admin/disabled_backends.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <nlohmann/json.hpp>
#include <utility>

#include "net/file_descriptor.hpp"

namespace cherryrail::admin {
namespace {

constexpr std::size_t kLargest = std::size_t{1} << 20;

}  // namespace

DisabledBackends::DisabledBackends(std::string path) : path_(std::move(path)) { look(); }

DisabledBackends::Seen DisabledBackends::seen() const {
  struct stat now {};
  if (path_.empty() || stat(path_.c_str(), &now) != 0) return {};
  return {static_cast<long long>(now.st_ino), now.st_mtim.tv_sec, now.st_mtim.tv_nsec, now.st_size};
}

bool DisabledBackends::look() {
  const Seen now = seen();
  if (now == seen_) return false;
  seen_ = now;
  return read();
}

// Danger: a file that is damaged must neither end the process nor call a banned backend back: what is known
// holds on.
bool DisabledBackends::read() {
  fault_.clear();
  std::ifstream file(path_);
  if (!file) {
    if (seen_.size >= 0) fault_ = path_ + " cannot be read";
    return false;
  }
  std::string text(kLargest, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<std::size_t>(file.gcount()));
  try {
    auto read = nlohmann::json::parse(text).at("bans").get<std::set<std::string>>();
    names_.swap(read);
    return true;
  } catch (const nlohmann::json::exception& error) {
    fault_ = path_ + " is damaged: " + error.what();
    return false;
  }
}

bool DisabledBackends::change(const std::string& name, bool banned) {
  // Held while the file is read, changed and replaced: two processes may be called at once.
  const net::FileDescriptor lock(
      path_.empty() ? -1 : open((path_ + ".lock").c_str(), O_CREAT | O_RDWR | O_CLOEXEC, 0600));
  if (lock) flock(lock.get(), LOCK_EX);
  look();  // what the other process was told a moment ago must not be lost
  const bool changes = banned ? names_.insert(name).second : names_.erase(name) > 0;
  if (path_.empty() || (!changes && fault_.empty())) return true;
  if (!write()) {
    fault_ = path_ + " cannot be written: " + std::strerror(errno);
    return false;
  }
  fault_.clear();
  seen_ = seen();
  return true;
}

// Whole, then renamed: a process that dies half-way leaves the old file.
bool DisabledBackends::write() const {
  const std::string text = nlohmann::json{{"bans", names_}}.dump() + "\n", fresh = path_ + ".new";
  const int fd = open(fresh.c_str(), O_CREAT | O_TRUNC | O_WRONLY | O_CLOEXEC, 0600);
  if (fd < 0) return false;
  const bool written = ::write(fd, text.data(), text.size()) == static_cast<ssize_t>(text.size());
  return (close(fd) == 0) && written && std::rename(fresh.c_str(), path_.c_str()) == 0;
}

}  // namespace cherryrail::admin
