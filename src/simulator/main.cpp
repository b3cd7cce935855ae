// cherryrail_benchlink: reads batches from standard input and writes one reply for each to standard output
// until the input ends.
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <string>
#include <string_view>
#include <system_error>

#include "simulator/adapter.hpp"

namespace {

using cherryrail::simulator::Adapter;
using cherryrail::simulator::WireError;

// The size at start, which most batches fit into; it doubles when a batch does not.
constexpr std::size_t kInputBufferSize = 1 << 20;

// Standard input, a frame at a time.
class FrameInput {
 public:
  // The next complete frame, valid until the next call; empty at the end of the input. Throws WireError for
  // an input that ends inside a frame, std::system_error if it cannot be read.
  std::string_view next() {
    release_frame();
    while (true) {
      const std::string_view held(buffer_.data() + begin_, end_ - begin_);
      const std::size_t length = Adapter::frame_length(held);
      if (length != 0 && length <= held.size()) {
        frame_length_ = length;
        return held.substr(0, length);
      }
      make_room();
      if (!read_more()) return {};
    }
  }

 private:
  void release_frame() {
    begin_ += frame_length_;
    frame_length_ = 0;
    if (begin_ < end_) return;
    begin_ = 0;
    end_ = 0;
  }

  void make_room() {
    if (begin_ > 0) {
      std::memmove(buffer_.data(), buffer_.data() + begin_, end_ - begin_);
      end_ -= begin_;
      begin_ = 0;
    }
    // It grows with what has come in, not with what a length field claims.
    if (end_ == buffer_.size()) buffer_.resize(2 * buffer_.size());
  }

  // False at the end of the input.
  bool read_more() {
    while (true) {
      const ssize_t count = ::read(STDIN_FILENO, buffer_.data() + end_, buffer_.size() - end_);
      if (count > 0) {
        end_ += static_cast<std::size_t>(count);
        return true;
      }
      if (count == 0) break;
      if (errno != EINTR) throw std::system_error(errno, std::generic_category(), "cannot read");
    }
    if (end_ > 0)
      throw WireError("input ends inside a batch, after " + std::to_string(end_) + " of its bytes");
    return false;
  }

  std::string buffer_ = std::string(kInputBufferSize, '\0');
  std::size_t begin_ = 0;  // of what has been read and not been given out
  std::size_t end_ = 0;
  std::size_t frame_length_ = 0;  // of the frame given out last
};

// Throws std::system_error if standard output does not take them.
void write_all(std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t count = ::write(STDOUT_FILENO, bytes.data(), bytes.size());
    if (count >= 0) {
      bytes.remove_prefix(static_cast<std::size_t>(count));
      continue;
    }
    if (errno != EINTR) throw std::system_error(errno, std::generic_category(), "cannot write a reply");
  }
}

void serve() {
  Adapter adapter;
  FrameInput input;
  for (std::string_view frame = input.next(); !frame.empty(); frame = input.next()) {
    write_all(adapter.play(frame));
  }
}

}  // namespace

int main() {
  try {
    serve();
    return 0;
  } catch (const std::exception& failure) {
    std::fprintf(stderr, "cherryrail_benchlink: %s\n", failure.what());
    return 1;
  }
}
