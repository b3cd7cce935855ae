// The error that a parser throws for an invalid message.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

namespace cherryrail::protocol {

// what() contains the location of the error, unless it concerns the whole message, and the problem.
class ProtocolError : public std::runtime_error {
 public:
  ProtocolError(std::string location, std::string value, std::string_view problem)
      : std::runtime_error(location.empty() ? std::string(problem) : location + ": " + std::string(problem)),
        location_(std::move(location)), value_(std::move(value)) {}

  const std::string& location() const { return location_; }  // empty for the message as a whole
  const std::string& value() const { return value_; }        // the invalid value or the name of its type

 private:
  std::string location_;
  std::string value_;
};

}  // namespace cherryrail::protocol
