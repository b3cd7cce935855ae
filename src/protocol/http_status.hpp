// The HTTP status codes that the relay responds with.
#pragma once

#include <cstdint>

namespace cherryrail::protocol {

enum class HttpStatus : std::uint16_t {
  ok = 200,
  bad_request = 400,
  not_found = 404,
  method_not_allowed = 405,
  request_timeout = 408,
  length_required = 411,
  content_too_large = 413,
  header_fields_too_large = 431,
  internal_server_error = 500,
  not_implemented = 501,
  service_unavailable = 503,
  version_not_supported = 505,
};

// The numeric code, as sent on the wire.
constexpr int status_code(HttpStatus status) { return static_cast<int>(status); }

// The reason phrase of RFC 9110, for the status line.
const char* reason_phrase(HttpStatus status);

}  // namespace cherryrail::protocol
