// An incremental parser for one HTTP/1.1 response with a plain or chunked body. It does no I/O; endpoint
// discovery passes it the received bytes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace cherryrail::protocol {

class HttpResponse {
 public:
  enum class State : std::uint8_t { reading_head, reading_body, complete, malformed };

  // Parses the next bytes and calls on_body(part) for each part of the body in them; a part may start and end
  // anywhere in the body. Bytes after the end of the response are ignored. Returns the resulting state.
  template <class OnBody>
  State feed(std::string_view bytes, const OnBody& on_body) {
    while (!bytes.empty() && !is_finished()) {
      if (is_reading_line()) {
        read_line(bytes);
        continue;
      }
      const std::string_view part = bytes.substr(0, remaining_);
      bytes.remove_prefix(part.size());
      remaining_ -= part.size();
      if (remaining_ == 0) finish_body_part();
      on_body(part);
    }
    return state();
  }

  State state() const;
  int status() const { return status_; }  // 0 until the status line has been read

 private:
  // Which part of the response the next bytes belong to.
  enum class Step : std::uint8_t {
    status_line,
    header_line,
    plain_body,  // `remaining_` bytes, or everything until the connection ends
    chunk_size_line,
    chunk_data,  // `remaining_` bytes
    chunk_end_line,
    complete,
    malformed
  };

  bool is_finished() const { return step_ == Step::complete || step_ == Step::malformed; }
  bool is_reading_line() const { return step_ != Step::plain_body && step_ != Step::chunk_data; }
  void read_line(std::string_view& bytes);
  void process_line(std::string_view line);
  void parse_status_line(std::string_view line);
  void parse_header(std::string_view line);
  void finish_head();
  void parse_chunk_size(std::string_view line);
  void finish_body_part();

  Step step_ = Step::status_line;
  std::string partial_line_;
  std::size_t remaining_ = std::string_view::npos;  // bytes of the body or chunk; npos if no length is given
  int status_ = 0;
  bool is_chunked_ = false;
};

}  // namespace cherryrail::protocol
