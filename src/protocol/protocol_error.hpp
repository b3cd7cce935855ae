// What is wrong with a message that a parser refuses.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

namespace cherryrail::protocol {

// Thrown by the parsers of this folder; what() names the place, if the message has any, and the problem.
class ProtocolError : public std::runtime_error {
 public:
  ProtocolError(std::string where, std::string value, std::string_view problem)
      : std::runtime_error(where.empty() ? std::string(problem) : where + ": " + std::string(problem)),
        where_(std::move(where)), value_(std::move(value)) {}

  const std::string& where() const { return where_; }  // the faulty part; empty for the message as a whole
  const std::string& value() const { return value_; }  // what stands there, or the kind of value it is

 private:
  std::string where_;
  std::string value_;
};

}  // namespace cherryrail::protocol
