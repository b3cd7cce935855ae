#include "protocol/http_response.hpp"

#include <glib.h>

#include <charconv>
#include <utility>

namespace cherryrail::protocol {
namespace {

bool read_size(std::string_view text, int base, std::size_t& size) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), size, base);
  return error == std::errc{} && end != text.data() && (end == text.data() + text.size() || *end == ';');
}

}  // namespace

bool same_word(std::string_view a, std::string_view b) {
  return a.size() == b.size() && g_ascii_strncasecmp(a.data(), b.data(), a.size()) == 0;
}

void HttpResponse::take_line() {
  const std::string line = std::exchange(held_, {});
  std::string_view text = line;
  if (!text.empty() && text.back() == '\r') text.remove_suffix(1);
  if (chunk_ == Chunk::size) {
    if (!read_size(text, 16, left_) || left_ > (std::size_t{1} << 30)) {
      state_ = State::bad;
    } else if (left_ == 0) {
      state_ = State::done;
    } else {
      chunk_ = Chunk::data;
    }
  } else if (chunk_ == Chunk::end) {
    chunk_ = Chunk::size;
    if (!text.empty()) state_ = State::bad;
  } else if (status_ == 0) {
    std::size_t status = 0;
    if (!text.starts_with("HTTP/1.") || text.size() < 12 || !read_size(text.substr(9, 3), 10, status))
      state_ = State::bad;
    status_ = static_cast<int>(status);
  } else if (text.empty()) {
    state_ = left_ == 0 && !chunked_ ? State::done : State::body;
    if (chunked_) chunk_ = Chunk::size;
  } else {
    take_header(text);
  }
}

void HttpResponse::take_header(std::string_view line) {
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos) {
    state_ = State::bad;
    return;
  }
  std::string_view value = line.substr(colon + 1);
  while (!value.empty() && value.front() == ' ') value.remove_prefix(1);
  const std::string_view name = line.substr(0, colon);
  if (same_word(name, "Transfer-Encoding")) chunked_ = same_word(value, "chunked");
  if (same_word(name, "Content-Length") && !read_size(value, 10, left_)) state_ = State::bad;
}

void HttpResponse::body_part_over() {
  if (chunk_ == Chunk::data)
    chunk_ = Chunk::end;
  else
    state_ = State::done;
}

}  // namespace cherryrail::protocol
