#include "protocol/http_request.hpp"

#include <glib.h>

#include <algorithm>
#include <charconv>
#include <utility>

#include "protocol/text_fields.hpp"

namespace cherryrail::protocol {
namespace {

constexpr std::size_t kLongestHead = 8192, kLongestBody = 16384;

std::string_view trimmed(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

bool is_token(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return g_ascii_isalnum(c) || std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
  });
}

}  // namespace

// What follows a whole call on the same connection is left: one call to a connection.
HttpRequest::State HttpRequest::feed(std::string_view bytes) {
  while (!bytes.empty() && state_ == State::more) {
    if (in_body_) {
      const std::string_view part = bytes.substr(0, length_ - body_.size());
      body_ += part;
      if (body_.size() == length_) state_ = State::whole;
      return state_;
    }
    const std::size_t end = bytes.find('\n');
    const std::string_view part = bytes.substr(0, end);
    head_ += part.size() + 1;
    if (head_ > kLongestHead) return bad(431);
    line_ += part;
    if (end == std::string_view::npos) return state_;
    bytes.remove_prefix(end + 1);
    std::string line = std::exchange(line_, {});
    if (!line.empty() && line.back() == '\r') line.pop_back();
    take_line(line);
  }
  return state_;
}

HttpRequest::State HttpRequest::bad(int status) {
  fault_ = status;
  return state_ = State::bad;
}

HttpRequest::State HttpRequest::take_line(std::string_view line) {
  if (method_.empty()) {
    if (line.empty()) return state_;  // an empty line before the call is passed over
    const std::size_t first = line.find(' '), last = line.rfind(' ');
    if (first == std::string_view::npos || first == last) return bad(400);
    const std::string_view version = line.substr(last + 1), target = line.substr(first + 1, last - first - 1);
    if (!is_token(line.substr(0, first)) || !target.starts_with('/') ||
        target.find(' ') != std::string_view::npos)
      return bad(400);
    if (!version.starts_with("HTTP/1.") || version.size() != 8)
      return bad(version.starts_with("HTTP/") ? 505 : 400);
    method_ = line.substr(0, first);
    path_ = target.substr(0, target.find('?'));
    return state_;
  }
  if (!line.empty()) return take_header(line);
  in_body_ = true;
  if (!length_told_ && method_ == "POST") return bad(411);
  if (length_ > kLongestBody) return bad(413);
  if (length_ == 0) state_ = State::whole;
  return state_;
}

HttpRequest::State HttpRequest::take_header(std::string_view line) {
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos || !is_token(line.substr(0, colon))) return bad(400);
  const std::string_view name = line.substr(0, colon), value = trimmed(line.substr(colon + 1));
  if (equals_ignoring_case(name, "Transfer-Encoding")) return bad(501);
  return equals_ignoring_case(name, "Content-Length") ? take_length(value) : state_;
}

// Danger: two lengths that differ, or one that wraps round, would have the rest taken for another call.
HttpRequest::State HttpRequest::take_length(std::string_view value) {
  std::size_t length = 0;
  const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), length);
  if (error == std::errc::result_out_of_range) return bad(413);
  if (error != std::errc{} || end != value.data() + value.size() || value.front() == '-') return bad(400);
  if (std::exchange(length_told_, true) && length != length_) return bad(400);
  length_ = length;
  return state_;
}

}  // namespace cherryrail::protocol
