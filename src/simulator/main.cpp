// Reads batches from standard input and writes one reply for each to standard output until input ends.
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <string>

#include "simulator/adapter.hpp"

namespace {

using cherryrail::simulator::WireError;

void write_all(std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t written = ::write(STDOUT_FILENO, bytes.data(), bytes.size());
    if (written < 0 && errno == EINTR) continue;
    if (written < 0) throw WireError(std::string("cannot write a reply: ") + std::strerror(errno));
    bytes.remove_prefix(static_cast<std::size_t>(written));
  }
}

void serve() {
  cherryrail::simulator::Adapter link;
  std::string buffer(1 << 20, '\0');
  std::size_t begin = 0, end = 0;
  while (true) {
    const std::string_view held(buffer.data() + begin, end - begin);
    const std::size_t length = cherryrail::simulator::Adapter::frame_length(held);
    if (length != 0 && length <= held.size()) {
      write_all(link.play(held.substr(0, length)));
      begin += length;
      if (begin == end) begin = end = 0;
      continue;
    }
    if (begin > 0) {
      std::memmove(buffer.data(), buffer.data() + begin, end - begin);
      end -= begin;
      begin = 0;
    }
    // Grow with what has truly come in, not with what a length field claims.
    if (end == buffer.size()) buffer.resize(2 * buffer.size());
    const ssize_t got = ::read(STDIN_FILENO, buffer.data() + end, buffer.size() - end);
    if (got < 0 && errno == EINTR) continue;
    if (got < 0) throw WireError(std::string("cannot read: ") + std::strerror(errno));
    if (got == 0) {
      if (end > 0)
        throw WireError("input ends inside a batch, after " + std::to_string(end) + " of its bytes");
      return;
    }
    end += static_cast<std::size_t>(got);
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
