#include "simulator/frame_reader.hpp"

#include "config/milliseconds.hpp"

namespace cherryrail::simulator {
namespace {

// Largest magnitude of a time, about 30,000 years: sums of larger times in microseconds could overflow.
constexpr double kMaxTimeMs = 1e15;

}  // namespace

std::string_view FrameReader::read_bytes(std::size_t length, const char* field) {
  if (length > remaining()) fail(std::string("frame ends inside field ") + field);
  const std::string_view bytes = frame_.substr(position_, length);
  position_ += length;
  return bytes;
}

Micros FrameReader::read_time(const char* field) {
  const auto milliseconds = read<double>(field);
  const bool is_usable = milliseconds > -kMaxTimeMs && milliseconds < kMaxTimeMs;  // false for NaN
  if (!is_usable) fail(std::string(field) + " is out of the range of times");
  return config::micros_from_milliseconds(milliseconds);
}

void FrameReader::fail(const std::string& problem, std::optional<std::uint64_t> value) const {
  throw WireError(position_, problem, value);
}

void FrameReader::fail_unknown(const char* what, std::uint64_t code) const {
  fail(std::string("unknown ") + what + " " + std::to_string(code), code);
}

}  // namespace cherryrail::simulator
