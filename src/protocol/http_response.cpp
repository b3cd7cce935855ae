#include "protocol/http_response.hpp"

#include <charconv>
#include <utility>

#include "protocol/text_fields.hpp"

namespace cherryrail::protocol {
namespace {

constexpr std::size_t kMaxLineSize = 8192;  // keeps a peer from exhausting the memory with one line
constexpr std::size_t kMaxChunkSize = std::size_t{1} << 30;  // a larger chunk size is taken for an error
constexpr std::size_t kStatusOffset = 9;                     // after "HTTP/1.1 "
constexpr std::size_t kStatusDigits = 3;
constexpr int kDecimal = 10;
constexpr int kHexadecimal = 16;

// Parses the number at the start of the text. It must end at the end of the text or at a semicolon, which
// starts a chunk extension.
bool parse_size(std::string_view text, int base, std::size_t& size) {
  const char* const begin = text.data();
  const char* const text_end = begin + text.size();
  const auto [end, error] = std::from_chars(begin, text_end, size, base);
  return error == std::errc{} && end != begin && (end == text_end || *end == ';');
}

}  // namespace

HttpResponse::State HttpResponse::state() const {
  switch (step_) {
    case Step::status_line:
    case Step::header_line:
      return State::reading_head;
    case Step::plain_body:
    case Step::chunk_size_line:
    case Step::chunk_data:
    case Step::chunk_end_line:
      return State::reading_body;
    case Step::complete:
      return State::complete;
    case Step::malformed:
      break;
  }
  return State::malformed;
}

void HttpResponse::read_line(std::string_view& bytes) {
  const std::size_t end = bytes.find('\n');
  partial_line_.append(bytes.substr(0, end));
  if (partial_line_.size() > kMaxLineSize) {
    step_ = Step::malformed;
    return;
  }
  if (end == std::string_view::npos) {
    bytes = {};
    return;
  }
  bytes.remove_prefix(end + 1);
  const std::string complete_line = std::exchange(partial_line_, {});
  std::string_view line = complete_line;
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  process_line(line);
}

void HttpResponse::process_line(std::string_view line) {
  switch (step_) {
    case Step::status_line:
      return parse_status_line(line);
    case Step::header_line:
      return line.empty() ? finish_head() : parse_header(line);
    case Step::chunk_size_line:
      return parse_chunk_size(line);
    case Step::chunk_end_line:
      step_ = line.empty() ? Step::chunk_size_line : Step::malformed;
      return;
    default:
      return;  // the other steps do not read lines
  }
}

void HttpResponse::parse_status_line(std::string_view line) {
  std::size_t status = 0;
  if (!line.starts_with("HTTP/1.") || line.size() < kStatusOffset + kStatusDigits ||
      !parse_size(line.substr(kStatusOffset, kStatusDigits), kDecimal, status)) {
    step_ = Step::malformed;
    return;
  }
  status_ = static_cast<int>(status);
  if (status_ != 0) step_ = Step::header_line;  // 000 is not a status: the next line must be a status line
}

void HttpResponse::parse_header(std::string_view line) {
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos) {
    step_ = Step::malformed;
    return;
  }
  const std::string_view name = line.substr(0, colon);
  std::string_view value = line.substr(colon + 1);
  while (!value.empty() && value.front() == ' ') value.remove_prefix(1);
  if (equals_ignoring_case(name, "Transfer-Encoding")) is_chunked_ = equals_ignoring_case(value, "chunked");
  if (equals_ignoring_case(name, "Content-Length") && !parse_size(value, kDecimal, remaining_))
    step_ = Step::malformed;
}

void HttpResponse::finish_head() {
  if (is_chunked_) {
    step_ = Step::chunk_size_line;
  } else {
    step_ = remaining_ == 0 ? Step::complete : Step::plain_body;
  }
}

void HttpResponse::parse_chunk_size(std::string_view line) {
  if (!parse_size(line, kHexadecimal, remaining_) || remaining_ > kMaxChunkSize) {
    step_ = Step::malformed;
  } else if (remaining_ == 0) {
    step_ = Step::complete;
  } else {
    step_ = Step::chunk_data;
  }
}

void HttpResponse::finish_body_part() {
  step_ = step_ == Step::chunk_data ? Step::chunk_end_line : Step::complete;
}

}  // namespace cherryrail::protocol
