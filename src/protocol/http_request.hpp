// An incremental parser for one HTTP/1.1 request. It does no I/O; the admin server passes it the received
// bytes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "protocol/http_status.hpp"

namespace cherryrail::protocol {

class HttpRequest {
 public:
  enum class State : std::uint8_t { incomplete, complete, malformed };

  // Parses the next bytes, in pieces of any size, and returns the resulting state. Bytes after a complete
  // request are ignored, since a connection carries one request.
  State feed(std::string_view bytes);

  [[nodiscard]] State state() const { return state_; }
  // The status of the response to a malformed request.
  [[nodiscard]] HttpStatus error_status() const { return error_status_; }
  [[nodiscard]] const std::string& method() const { return method_; }  // empty until the request line is read
  [[nodiscard]] const std::string& path() const { return path_; }      // without the query
  [[nodiscard]] const std::string& body() const { return body_; }

 private:
  // Which part of the request the next bytes belong to.
  enum class Step : std::uint8_t { request_line, header_line, body };

  void reject(HttpStatus status);
  void read_line(std::string_view& bytes);
  void read_body(std::string_view& bytes);
  void process_line(std::string_view line);
  void parse_request_line(std::string_view line);
  void parse_header(std::string_view line);
  void parse_content_length(std::string_view value);
  void finish_head();

  State state_ = State::incomplete;
  Step step_ = Step::request_line;
  HttpStatus error_status_ = HttpStatus::bad_request;
  std::string partial_line_;
  std::string method_;
  std::string path_;
  std::string body_;
  std::size_t head_size_ = 0;
  std::size_t content_length_ = 0;
  bool has_content_length_ = false;
};

}  // namespace cherryrail::protocol
