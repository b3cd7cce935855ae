#include "protocol/http_response.hpp"

#include <charconv>
#include <utility>

#include "protocol/text_fields.hpp"

namespace cherryrail::protocol {
namespace {

constexpr std::size_t kLongestLine = 8192;                   // a peer must not fill the memory with one line
constexpr std::size_t kLargestChunk = std::size_t{1} << 30;  // nor announce a chunk that cannot be real
constexpr std::size_t kStatusAt = 9;                         // after "HTTP/1.1 "
constexpr std::size_t kStatusDigits = 3;
constexpr int kDecimal = 10;
constexpr int kHexadecimal = 16;

// A number at the start of the text, up to its end or to a semicolon (a chunk's extension).
bool read_size(std::string_view text, int base, std::size_t& size) {
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
  if (partial_line_.size() > kLongestLine) {
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
  take_line(line);
}

void HttpResponse::take_line(std::string_view line) {
  switch (step_) {
    case Step::status_line:
      return take_status_line(line);
    case Step::header_line:
      return line.empty() ? end_head() : take_header(line);
    case Step::chunk_size_line:
      return take_chunk_size(line);
    case Step::chunk_end_line:
      step_ = line.empty() ? Step::chunk_size_line : Step::malformed;
      return;
    default:
      return;  // no line is read in the other steps
  }
}

void HttpResponse::take_status_line(std::string_view line) {
  std::size_t status = 0;
  if (!line.starts_with("HTTP/1.") || line.size() < kStatusAt + kStatusDigits ||
      !read_size(line.substr(kStatusAt, kStatusDigits), kDecimal, status)) {
    step_ = Step::malformed;
    return;
  }
  status_ = static_cast<int>(status);
  if (status_ != 0) step_ = Step::header_line;  // 000 is no status: the next line has to bring one
}

void HttpResponse::take_header(std::string_view line) {
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos) {
    step_ = Step::malformed;
    return;
  }
  const std::string_view name = line.substr(0, colon);
  std::string_view value = line.substr(colon + 1);
  while (!value.empty() && value.front() == ' ') value.remove_prefix(1);
  if (equals_ignoring_case(name, "Transfer-Encoding")) is_chunked_ = equals_ignoring_case(value, "chunked");
  if (equals_ignoring_case(name, "Content-Length") && !read_size(value, kDecimal, remaining_))
    step_ = Step::malformed;
}

void HttpResponse::end_head() {
  if (is_chunked_) {
    step_ = Step::chunk_size_line;
  } else {
    step_ = remaining_ == 0 ? Step::complete : Step::plain_body;
  }
}

void HttpResponse::take_chunk_size(std::string_view line) {
  if (!read_size(line, kHexadecimal, remaining_) || remaining_ > kLargestChunk) {
    step_ = Step::malformed;
  } else if (remaining_ == 0) {
    step_ = Step::complete;
  } else {
    step_ = Step::chunk_data;
  }
}

void HttpResponse::end_body_part() {
  step_ = step_ == Step::chunk_data ? Step::chunk_end_line : Step::complete;
}

}  // namespace cherryrail::protocol
