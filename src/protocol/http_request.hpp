// Reads one HTTP/1.1 request as it comes in, in pieces of any size. Knows nothing of sockets; the admin
// server feeds it.
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

  // Takes the next bytes and returns the state after them. What follows a complete request is left: there is
  // one request to a connection.
  State feed(std::string_view bytes);

  [[nodiscard]] State state() const { return state_; }
  // What a malformed request is answered with.
  [[nodiscard]] HttpStatus error_status() const { return error_status_; }
  [[nodiscard]] const std::string& method() const { return method_; }  // empty until the request line is read
  [[nodiscard]] const std::string& path() const { return path_; }      // without a query
  [[nodiscard]] const std::string& body() const { return body_; }

 private:
  // What the next bytes are.
  enum class Step : std::uint8_t { request_line, header_line, body };

  void reject(HttpStatus status);
  void read_line(std::string_view& bytes);
  void read_body(std::string_view& bytes);
  void take_line(std::string_view line);
  void take_request_line(std::string_view line);
  void take_header(std::string_view line);
  void take_content_length(std::string_view value);
  void end_head();

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
