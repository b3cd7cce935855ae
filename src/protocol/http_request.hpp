// Reads one HTTP/1.1 call as it comes in, in pieces of any size. Knows nothing of sockets.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace cherryrail::protocol {

class HttpRequest {
 public:
  enum class State { more, whole, bad };

  State feed(std::string_view bytes);
  State state() const { return state_; }
  int fault() const { return fault_; }  // the status that a bad call is answered with
  const std::string& method() const { return method_; }
  const std::string& path() const { return path_; }  // without a query
  const std::string& body() const { return body_; }

 private:
  State bad(int status);
  State take_line(std::string_view line);
  State take_header(std::string_view line);
  State take_length(std::string_view value);

  State state_ = State::more;
  int fault_ = 0;
  std::string line_, method_, path_, body_;
  std::size_t head_ = 0, length_ = 0;
  bool in_body_ = false, length_told_ = false;
};

}  // namespace cherryrail::protocol
