#include "protocol/http_status.hpp"

namespace cherryrail::protocol {

const char* reason_phrase(HttpStatus status) {
  switch (status) {
    case HttpStatus::ok:
      return "OK";
    case HttpStatus::bad_request:
      return "Bad Request";
    case HttpStatus::not_found:
      return "Not Found";
    case HttpStatus::method_not_allowed:
      return "Method Not Allowed";
    case HttpStatus::request_timeout:
      return "Request Timeout";
    case HttpStatus::length_required:
      return "Length Required";
    case HttpStatus::content_too_large:
      return "Content Too Large";
    case HttpStatus::header_fields_too_large:
      return "Request Header Fields Too Large";
    case HttpStatus::internal_server_error:
      return "Internal Server Error";
    case HttpStatus::not_implemented:
      return "Not Implemented";
    case HttpStatus::service_unavailable:
      return "Service Unavailable";
    case HttpStatus::version_not_supported:
      return "HTTP Version Not Supported";
  }
  return "Internal Server Error";
}

}  // namespace cherryrail::protocol
