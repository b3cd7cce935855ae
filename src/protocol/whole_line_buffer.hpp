// Passes a byte stream on in whole lines. Does no I/O.
#pragma once

#include <string>
#include <string_view>
#include <utility>

#include "protocol/line_reader.hpp"

namespace cherryrail::protocol {

// Holds the beginning of a line back until the line is complete, so that the stream can be ended between two
// lines at any time. A line longer than kMaxLineLength is passed on in pieces.
class WholeLineBuffer {
 public:
  // Calls forward(data) for the data that can be passed on, at most twice. Whole lines that arrive at once
  // are passed on together, and without a copy if no part of them was held back.
  template <class Forward>
  void feed(std::string_view bytes, const Forward& forward) {
    const std::size_t lines_end = bytes.rfind('\n') + 1;  // 0 if there is no line end
    if (lines_end > 0) {
      is_within_overlong_line_ = false;
      pass_on(bytes.substr(0, lines_end), forward);
    }
    const std::string_view rest = bytes.substr(lines_end);
    is_within_overlong_line_ =
        is_within_overlong_line_ || partial_line_.size() + rest.size() > kMaxLineLength;
    if (is_within_overlong_line_) {
      pass_on(rest, forward);
    } else {
      partial_line_.append(rest);
    }
  }

  // Whether the beginning of a line is held back.
  bool has_partial_line() const { return !partial_line_.empty(); }
  // Whether a part of a line has been passed on, so that the stream is not between two lines.
  bool is_within_overlong_line() const { return is_within_overlong_line_; }
  // Returns the beginning of the line that is held back, which is forgotten here.
  std::string take_partial_line() { return std::exchange(partial_line_, {}); }

 private:
  template <class Forward>
  void pass_on(std::string_view data, const Forward& forward) {
    if (data.empty()) return;
    if (partial_line_.empty()) {
      forward(data);
      return;
    }
    std::string joined = take_partial_line();
    joined.append(data);
    forward(std::string_view(joined));
  }

  std::string partial_line_;
  bool is_within_overlong_line_ = false;
};

}  // namespace cherryrail::protocol
