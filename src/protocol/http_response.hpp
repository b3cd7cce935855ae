// Reads one HTTP/1.1 response as it comes in: its status, then the body, chunked or not. Knows nothing of
// sockets; endpoint discovery feeds it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace cherryrail::protocol {

class HttpResponse {
 public:
  enum class State : std::uint8_t { reading_head, reading_body, complete, malformed };

  // Takes the next bytes and calls on_body(part) for each part of the body in them; parts break anywhere.
  // Bytes after the end of the response are left. Returns the state after them.
  template <class OnBody>
  State feed(std::string_view bytes, const OnBody& on_body) {
    while (!bytes.empty() && !is_over()) {
      if (is_reading_line()) {
        read_line(bytes);
        continue;
      }
      const std::string_view part = bytes.substr(0, remaining_);
      bytes.remove_prefix(part.size());
      remaining_ -= part.size();
      if (remaining_ == 0) end_body_part();
      on_body(part);
    }
    return state();
  }

  State state() const;
  int status() const { return status_; }  // 0 until the status line has been read

 private:
  // What the next bytes are.
  enum class Step : std::uint8_t {
    status_line,
    header_line,
    plain_body,  // `remaining_` bytes, or all until the connection ends
    chunk_size_line,
    chunk_data,  // `remaining_` bytes
    chunk_end_line,
    complete,
    malformed
  };

  bool is_over() const { return step_ == Step::complete || step_ == Step::malformed; }
  bool is_reading_line() const { return step_ != Step::plain_body && step_ != Step::chunk_data; }
  void read_line(std::string_view& bytes);
  void take_line(std::string_view line);
  void take_status_line(std::string_view line);
  void take_header(std::string_view line);
  void end_head();
  void take_chunk_size(std::string_view line);
  void end_body_part();

  Step step_ = Step::status_line;
  std::string partial_line_;
  std::size_t remaining_ = std::string_view::npos;  // of the body or chunk; npos if no length is stated
  int status_ = 0;
  bool is_chunked_ = false;
};

}  // namespace cherryrail::protocol
