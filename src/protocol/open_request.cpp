#include "protocol/open_request.hpp"

#include <algorithm>
#include <charconv>

#include "protocol/text_fields.hpp"

namespace cherryrail::protocol {
namespace {

constexpr std::string_view kOpenWord = "OPEN";
constexpr std::string_view kClientTimeoutField = "d";  // in milliseconds
// A timeout of 0 is invalid; this relay itself rejects such a line.
constexpr Micros kMinClientTimeoutMilliseconds = 1;

}  // namespace

const char* describe(OpenRequestFault fault) {
  switch (fault) {
    case OpenRequestFault::not_an_open:
      return "the line does not start with OPEN";
    case OpenRequestFault::missing_id_or_flow:
      return "the id or the flow is missing";
  }
  return "unknown fault";
}

OpenRequest::OpenRequest(std::string_view line) : line_(line) {
  std::string_view unread = line_;
  if (take_until(unread, ' ') != kOpenWord) {
    fault_ = OpenRequestFault::not_an_open;
    return;
  }
  id_ = take_until(unread, ' ');
  const std::string_view flow = take_until(unread, ' ');
  fields_ = unread;
  if (id_.empty() || flow.empty()) fault_ = OpenRequestFault::missing_id_or_flow;
  flow_key_ = parse_key(flow);
}

std::string_view OpenRequest::value(std::string_view name) const { return find_field(fields_, name); }

OpenRequest::LinePieces OpenRequest::with_client_timeout(Micros remaining) const {
  LinePieces pieces{};
  const std::string_view line = line_;
  const std::string_view original = value(kClientTimeoutField);
  if (original.empty()) {
    pieces.before = line;
    return pieces;
  }
  const auto position = static_cast<std::size_t>(original.data() - line.data());
  pieces.before = line.substr(0, position);
  pieces.after = line.substr(position + original.size());
  const Micros milliseconds = std::max(kMinClientTimeoutMilliseconds, remaining / kMillisecond);
  char* const digits = pieces.digits.data();
  const auto written = std::to_chars(digits, digits + pieces.digits.size(), milliseconds);
  pieces.digit_count = static_cast<std::size_t>(written.ptr - digits);
  return pieces;
}

}  // namespace cherryrail::protocol
