// cherryrail_benchlink: connects the balancer to the simulator. Reads batches from standard input and writes
// one reply to each to standard output until the input ends. Exits with 1 after an error.
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

// Holds most batches; the buffer doubles when a batch does not fit.
constexpr std::size_t kInitialInputBufferBytes = 1 << 20;

// Splits standard input into frames.
class FrameInput {
 public:
  // Returns the next complete frame, valid until the next call, or an empty view at the end of the input.
  // Throws WireError if the input ends inside a frame and std::system_error if it cannot be read.
  std::string_view next() {
    release_frame();
    while (true) {
      const std::string_view unprocessed(buffer_.data() + begin_, end_ - begin_);
      const std::size_t length = Adapter::frame_length(unprocessed);
      if (length != 0 && length <= unprocessed.size()) {
        frame_length_ = length;
        return unprocessed.substr(0, length);
      }
      reserve_read_space();
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

  void reserve_read_space() {
    if (begin_ > 0) {
      std::memmove(buffer_.data(), buffer_.data() + begin_, end_ - begin_);
      end_ -= begin_;
      begin_ = 0;
    }
    // The buffer grows with the bytes received, not with the length field, which may be corrupt.
    if (end_ == buffer_.size()) buffer_.resize(2 * buffer_.size());
  }

  // Returns false at the end of the input.
  bool read_more() {
    while (true) {
      const ssize_t count = ::read(STDIN_FILENO, buffer_.data() + end_, buffer_.size() - end_);
      if (count > 0) {
        end_ += static_cast<std::size_t>(count);
        return true;
      }
      if (count == 0) break;
      if (errno != EINTR)
        throw std::system_error(errno, std::generic_category(), "cannot read standard input");
    }
    if (end_ > 0)
      throw WireError("input ends inside a batch, after " + std::to_string(end_) + " bytes of it");
    return false;
  }

  std::string buffer_ = std::string(kInitialInputBufferBytes, '\0');
  std::size_t begin_ = 0;         // start of the frame returned last, if any, and the unprocessed bytes
  std::size_t end_ = 0;           // end of the bytes read
  std::size_t frame_length_ = 0;  // of the frame returned last
};

// Writes to standard output. Throws std::system_error if that fails.
void write_all(std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t count = ::write(STDOUT_FILENO, bytes.data(), bytes.size());
    if (count >= 0) {
      bytes.remove_prefix(static_cast<std::size_t>(count));
      continue;
    }
    if (errno != EINTR)
      throw std::system_error(errno, std::generic_category(), "cannot write to standard output");
  }
}

void serve() {
  Adapter adapter;
  FrameInput input;
  for (std::string_view frame = input.next(); !frame.empty(); frame = input.next()) {
    write_all(adapter.process_batch(frame));
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
