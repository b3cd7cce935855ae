// A client's first line, parsed where it stands, and what a backend may answer.
#pragma once

#include <array>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "balancer/balancer.hpp"

namespace cherryrail::protocol {

// The views point into the line that is kept; so it is neither copied nor moved.
class OpenRequest {
 public:
  explicit OpenRequest(std::string_view line);
  OpenRequest(const OpenRequest&) = delete;
  OpenRequest& operator=(const OpenRequest&) = delete;

  // Empty if the line has the form of an OPEN; else what is wrong with it.
  const char* fault() const { return fault_; }
  std::string_view value(std::string_view name) const;  // empty if the list does not have it
  std::string_view id() const { return id_; }
  const std::string& line() const { return line_; }
  std::uint64_t flow() const { return flow_; }

  // The line in three pieces, with another figure for how long its sender waits.
  struct Pieces {
    std::array<char, 24> digits;
    std::size_t length;
    std::string_view before, after;
    std::string_view wait() const { return {digits.data(), length}; }
  };
  Pieces with_wait(Micros wait) const;

 private:
  std::string line_;
  std::string_view id_, list_;
  std::uint64_t flow_ = 0;
  const char* fault_ = nullptr;
};

std::uint64_t key_of(std::string_view text);  // hexadecimal, as keys are written; else a hash of it
std::optional<double> number_of(std::string_view text);

enum class ReplyKind : std::uint8_t { up, bye, move, error, busy, load, pong, other };
struct BackendReply {
  ReplyKind reply = ReplyKind::other;
  std::string_view rest;  // what follows the word
};
BackendReply parse_backend_reply(std::string_view line);

// "inflight=7,queue=2,util=0.61": the value of one field.
std::optional<double> report_field(std::string_view report, std::string_view field);

}  // namespace cherryrail::protocol
