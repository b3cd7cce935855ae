// A client's first line, "OPEN <id> <flow> <name=value,...>", and the copy of it that goes to a backend.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "balancer/time.hpp"

namespace cherryrail::protocol {

// Why a line is not an open request.
enum class OpenRequestFault : std::uint8_t { not_an_open, missing_id_or_flow };

// The text for the log, after "bad open request: ".
const char* describe(OpenRequestFault fault);

// A parsed open request. It keeps the line and views into it, and so can be neither copied nor moved. The
// proxy makes one for each session and reads the session's settings from its fields.
class OpenRequest {
 public:
  explicit OpenRequest(std::string_view line);
  OpenRequest(const OpenRequest&) = delete;
  OpenRequest& operator=(const OpenRequest&) = delete;
  ~OpenRequest() = default;

  // Empty if the line has the form of an open request. The fields' values are not checked here.
  std::optional<OpenRequestFault> fault() const { return fault_; }
  std::string_view value(std::string_view name) const;  // of one field; empty if the line does not have it
  std::string_view id() const { return id_; }
  const std::string& line() const { return line_; }
  std::uint64_t flow_key() const { return flow_key_; }

  // The line with another client timeout, in three pieces that are to be sent one after the other: `before`,
  // client_timeout(), `after`. The views point into the request, which has to outlive them.
  struct LinePieces {
    std::array<char, 24> digits;  // room for any 64-bit number
    std::size_t digit_count;
    std::string_view before;
    std::string_view after;
    std::string_view client_timeout() const { return {digits.data(), digit_count}; }
  };
  // `remaining`: how long the client will still wait when the backend reads the line. A request that states
  // no client timeout keeps its line.
  LinePieces with_client_timeout(Micros remaining) const;

 private:
  std::string line_;
  std::string_view id_;
  std::string_view fields_;
  std::uint64_t flow_key_ = 0;
  std::optional<OpenRequestFault> fault_;
};

}  // namespace cherryrail::protocol
