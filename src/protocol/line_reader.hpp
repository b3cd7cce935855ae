// Lines ended by CRLF, cut out of what comes in; what is whole is seen where it lies.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace cherryrail::protocol {

constexpr std::size_t kLongestLine = 4096;

class LineReader {
 public:
  // AdminServer see(line, whole) for each line, without its end. `see` returns false to stop; the rest is
  // given back. An overlong line stops it too, and overlong() is true from then on.
  template <class See>
  std::string_view feed(std::string_view bytes, const See& see) {
    while (!bytes.empty()) {
      const std::size_t end = bytes.find('\n');
      const std::size_t length = end == std::string_view::npos ? bytes.size() : end;
      if (held_.size() + length > kLongestLine) {
        overlong_ = true;
        return bytes;
      }
      if (end == std::string_view::npos) {
        held_.append(bytes);
        return {};
      }
      std::string_view line = bytes.substr(0, end);
      bytes.remove_prefix(end + 1);
      std::string whole;
      if (!held_.empty()) {
        whole.swap(held_);
        line = whole.append(line);
      }
      if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
      if (!see(line)) return bytes;
    }
    return {};
  }
  bool overlong() const { return overlong_; }
  std::string_view begun() const { return held_; }  // of the line that has not ended yet

 private:
  std::string held_;
  bool overlong_ = false;
};

}  // namespace cherryrail::protocol
