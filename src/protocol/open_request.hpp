// Parses a client's first line, "OPEN <id> <flow> <name=value,...>", and prepares the line that is sent to a
// backend.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "balancer/time.hpp"

namespace cherryrail::protocol {

// Why a line is not a valid open request.
enum class OpenRequestFault : std::uint8_t { not_an_open, missing_id_or_flow };

// The text that follows "bad open request: " in the log.
const char* describe(OpenRequestFault fault);

// A parsed open request. It holds the line and views into it, so it can be neither copied nor moved. The
// proxy creates one for each session and reads the session's settings from its fields.
class OpenRequest {
 public:
  explicit OpenRequest(std::string_view line);
  OpenRequest(const OpenRequest&) = delete;
  OpenRequest& operator=(const OpenRequest&) = delete;
  ~OpenRequest() = default;

  // Empty if the line is a valid open request. The values of the fields are not validated here.
  std::optional<OpenRequestFault> fault() const { return fault_; }
  std::string_view value(std::string_view name) const;  // of one field; empty if missing
  std::string_view id() const { return id_; }
  const std::string& line() const { return line_; }
  std::uint64_t flow_key() const { return flow_key_; }

  // The line with a replaced client timeout, in three pieces to be sent in this order: `before`,
  // client_timeout(), `after`. `before` and `after` point into the request, which must outlive them.
  struct LinePieces {
    std::array<char, 24> digits;  // room for any 64-bit number
    std::size_t digit_count;
    std::string_view before;
    std::string_view after;
    std::string_view client_timeout() const { return {digits.data(), digit_count}; }
  };
  // Replaces the client timeout with `remaining`, how long the client will still wait when the backend reads
  // the line; at least 1 ms is sent. A request without a client timeout is left unchanged.
  LinePieces with_client_timeout(Micros remaining) const;

 private:
  std::string line_;
  std::string_view id_;
  std::string_view fields_;
  std::uint64_t flow_key_ = 0;
  std::optional<OpenRequestFault> fault_;
};

}  // namespace cherryrail::protocol
