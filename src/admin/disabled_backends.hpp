// The backends that operators have taken out of use: a set in a small file, the same for every process that
// stands in for this relay.
#pragma once

#include <set>
#include <string>

namespace cherryrail::admin {

class DisabledBackends {
 public:
  // Without a path nothing is kept beyond this process.
  explicit DisabledBackends(std::string path);

  const std::set<std::string>& names() const { return names_; }
  // Reads the file again if it has changed. False if it has not, or cannot be read; fault() tells the latter.
  bool look();
  // Adds or takes out one name, here and in the file. False if the file could not be written: then it holds
  // for this process alone.
  bool change(const std::string& name, bool banned);
  const std::string& fault() const { return fault_; }

 private:
  bool read();
  bool write() const;

  std::string path_, fault_;
  std::set<std::string> names_;
  struct Seen {
    long long inode = 0, seconds = 0, nanoseconds = 0, size = -1;
    bool operator==(const Seen&) const = default;
  };
  Seen seen() const;
  Seen seen_;
};

}  // namespace cherryrail::admin
