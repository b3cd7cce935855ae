// Splits a byte stream into lines. Does no I/O.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace cherryrail::protocol {

// In bytes. Longer lines are rejected, so that a peer that never ends its line cannot exhaust the memory.
constexpr std::size_t kMaxLineLength = 4096;

// Reads lines that end in CRLF or LF, in pieces of any size. A line that is contained in one piece is passed
// on without a copy.
class LineReader {
 public:
  // Calls on_line(line) for each complete line, without its line terminator. `on_line` returns false to stop
  // after that line. Returns the unread bytes: those after the line at which it stopped, or, if a line
  // exceeds kMaxLineLength, all bytes of this piece from that line on; is_overlong() is then true.
  template <class OnLine>
  std::string_view feed(std::string_view bytes, const OnLine& on_line) {
    while (!bytes.empty()) {
      const std::size_t end = bytes.find('\n');
      const bool is_complete = end != std::string_view::npos;
      const std::size_t length = is_complete ? end : bytes.size();
      if (partial_line_.size() + length > kMaxLineLength) {
        is_overlong_ = true;
        return bytes;
      }
      if (!is_complete) {
        partial_line_.append(bytes);
        return {};
      }
      std::string joined;  // the line, if it began in an earlier piece
      const std::string_view line = complete_line(bytes.substr(0, end), joined);
      bytes.remove_prefix(end + 1);
      if (!on_line(line)) return bytes;
    }
    return {};
  }

  bool is_overlong() const { return is_overlong_; }

  // The received part of a line that is not complete yet.
  std::string_view partial_line() const { return partial_line_; }

 private:
  std::string_view complete_line(std::string_view last_part, std::string& joined) {
    std::string_view line = last_part;
    if (!partial_line_.empty()) {
      joined.swap(partial_line_);
      joined.append(last_part);
      line = joined;
    }
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    return line;
  }

  std::string partial_line_;
  bool is_overlong_ = false;
};

}  // namespace cherryrail::protocol
