// Reads one HTTP/1.1 answer as it comes in: its status, then the body, chunked or not.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace cherryrail::protocol {

// Whether two words are the same, large and small letters alike.
bool same_word(std::string_view a, std::string_view b);

class HttpResponse {
 public:
  enum class State { head, body, done, bad };

  // AdminServer see(part) for each part of the body. Parts break anywhere.
  template <class See>
  State feed(std::string_view bytes, const See& see) {
    while (!bytes.empty() && state_ != State::bad && state_ != State::done) {
      if (state_ == State::head || chunk_ == Chunk::size || chunk_ == Chunk::end) {
        const std::size_t end = bytes.find('\n');
        held_.append(bytes.substr(0, end));
        if (held_.size() > kLongest) return state_ = State::bad;
        if (end == std::string_view::npos) return state_;
        bytes.remove_prefix(end + 1);
        take_line();
        continue;
      }
      const std::string_view part = bytes.substr(0, left_);
      bytes.remove_prefix(part.size());
      left_ -= part.size();
      if (left_ == 0) body_part_over();
      see(part);
    }
    return state_;
  }
  State state() const { return state_; }
  int status() const { return status_; }

 private:
  enum class Chunk { none, size, data, end };
  static constexpr std::size_t kLongest = 8192;

  void take_line();
  void take_header(std::string_view line);
  void body_part_over();

  State state_ = State::head;
  Chunk chunk_ = Chunk::none;
  std::string held_;
  std::size_t left_ = std::string_view::npos;  // of the body or the chunk; until the end where nobody says
  int status_ = 0;
  bool chunked_ = false;
};

}  // namespace cherryrail::protocol
