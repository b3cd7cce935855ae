#include "protocol/http_request.hpp"

#include <glib.h>

#include <algorithm>
#include <charconv>
#include <system_error>
#include <utility>

#include "protocol/text_fields.hpp"

namespace cherryrail::protocol {
namespace {

// Far above what admin requests need, and small enough to buffer for each connection that sends garbage.
constexpr std::size_t kMaxHeadSize = 8192;
constexpr std::size_t kMaxBodySize = 16384;

constexpr std::string_view kTokenPunctuation = "!#$%&'*+-.^_`|~";  // RFC 9110, 5.6.2
constexpr std::size_t kVersionSize = std::string_view("HTTP/1.1").size();

std::string_view trim(std::string_view text) {
  constexpr std::string_view kWhitespace = " \t";
  const std::size_t first = text.find_first_not_of(kWhitespace);
  if (first == std::string_view::npos) return text.substr(text.size());
  return text.substr(first, text.find_last_not_of(kWhitespace) - first + 1);
}

bool is_token_character(char character) {
  return g_ascii_isalnum(character) || kTokenPunctuation.find(character) != std::string_view::npos;
}

bool is_token(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), is_token_character);
}

bool is_target(std::string_view text) {
  return text.starts_with('/') && text.find(' ') == std::string_view::npos;
}

}  // namespace

HttpRequest::State HttpRequest::feed(std::string_view bytes) {
  while (!bytes.empty() && state_ == State::incomplete) {
    if (step_ == Step::body)
      read_body(bytes);
    else
      read_line(bytes);
  }
  return state_;
}

void HttpRequest::reject(HttpStatus status) {
  error_status_ = status;
  state_ = State::malformed;
}

void HttpRequest::read_body(std::string_view& bytes) {
  const std::string_view part = bytes.substr(0, content_length_ - body_.size());
  bytes.remove_prefix(part.size());
  body_ += part;
  if (body_.size() == content_length_) state_ = State::complete;
}

void HttpRequest::read_line(std::string_view& bytes) {
  const std::size_t end = bytes.find('\n');
  const bool is_line_complete = end != std::string_view::npos;
  const std::string_view part = bytes.substr(0, end);
  bytes.remove_prefix(is_line_complete ? end + 1 : bytes.size());
  head_size_ += part.size() + 1;
  if (head_size_ > kMaxHeadSize) return reject(HttpStatus::header_fields_too_large);
  partial_line_ += part;
  if (!is_line_complete) return;
  std::string line = std::exchange(partial_line_, {});
  if (line.ends_with('\r')) line.pop_back();
  process_line(line);
}

void HttpRequest::process_line(std::string_view line) {
  if (step_ == Step::header_line) {
    if (line.empty()) return finish_head();
    return parse_header(line);
  }
  // RFC 9112, 2.2: empty lines before the request line are ignored.
  if (!line.empty()) parse_request_line(line);
}

void HttpRequest::parse_request_line(std::string_view line) {
  const std::size_t method_end = line.find(' ');
  const std::size_t target_end = line.rfind(' ');
  if (method_end == std::string_view::npos || method_end == target_end)
    return reject(HttpStatus::bad_request);
  const std::string_view method = line.substr(0, method_end);
  const std::string_view target = line.substr(method_end + 1, target_end - method_end - 1);
  const std::string_view version = line.substr(target_end + 1);
  if (!is_token(method) || !is_target(target)) return reject(HttpStatus::bad_request);
  if (!version.starts_with("HTTP/")) return reject(HttpStatus::bad_request);
  if (!version.starts_with("HTTP/1.") || version.size() != kVersionSize)
    return reject(HttpStatus::version_not_supported);
  method_ = method;
  path_ = target.substr(0, target.find('?'));
  step_ = Step::header_line;
}

void HttpRequest::parse_header(std::string_view line) {
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos) return reject(HttpStatus::bad_request);
  const std::string_view name = line.substr(0, colon);
  if (!is_token(name)) return reject(HttpStatus::bad_request);
  if (equals_ignoring_case(name, "Transfer-Encoding")) return reject(HttpStatus::not_implemented);
  if (equals_ignoring_case(name, "Content-Length")) parse_content_length(trim(line.substr(colon + 1)));
}

// Conflicting lengths, or a length that overflows, would misplace the end of the body, so that part of it
// could be taken for another request.
void HttpRequest::parse_content_length(std::string_view value) {
  std::size_t length = 0;
  const char* const value_end = value.data() + value.size();
  const auto [end, error] = std::from_chars(value.data(), value_end, length);
  if (error == std::errc::result_out_of_range) return reject(HttpStatus::content_too_large);
  if (error != std::errc{} || end != value_end) return reject(HttpStatus::bad_request);
  if (has_content_length_ && length != content_length_) return reject(HttpStatus::bad_request);
  has_content_length_ = true;
  content_length_ = length;
}

void HttpRequest::finish_head() {
  step_ = Step::body;
  if (!has_content_length_ && method_ == "POST") return reject(HttpStatus::length_required);
  if (content_length_ > kMaxBodySize) return reject(HttpStatus::content_too_large);
  if (content_length_ == 0) state_ = State::complete;
}

}  // namespace cherryrail::protocol
