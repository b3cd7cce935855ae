#include "protocol/text_fields.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace cherryrail::protocol {
namespace {

constexpr std::uint64_t kFnvOffsetBasis = 0xcbf29ce484222325ULL;  // FNV-1a, 64 bits
constexpr std::uint64_t kFnvPrime = 0x100000001b3ULL;
constexpr int kKeyBase = 16;

char to_ascii_lower(char character) {
  const bool is_upper = character >= 'A' && character <= 'Z';
  return is_upper ? static_cast<char>(character - 'A' + 'a') : character;
}

}  // namespace

std::string_view take_until(std::string_view& text, char delimiter) {
  const std::size_t end = text.find(delimiter);
  const std::string_view taken = text.substr(0, end);
  text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
  return taken;
}

std::string_view find_field(std::string_view list, std::string_view name) {
  while (!list.empty()) {
    const std::string_view item = take_until(list, ',');
    if (item.size() > name.size() && item[name.size()] == '=' && item.starts_with(name))
      return item.substr(name.size() + 1);
  }
  return {};
}

std::optional<double> find_report_field(std::string_view report, std::string_view name) {
  return parse_number(find_field(report, name));
}

std::uint64_t hash_of_text(std::string_view text) {
  std::uint64_t hash = kFnvOffsetBasis;
  for (const char character : text) hash = (hash ^ static_cast<unsigned char>(character)) * kFnvPrime;
  return hash;
}

std::optional<double> parse_number(std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  const bool is_whole_text = error == std::errc{} && end == text.data() + text.size();
  if (text.empty() || !is_whole_text || !std::isfinite(value)) return {};
  return value;
}

std::uint64_t parse_key(std::string_view text) {
  if (text.empty()) return 0;
  std::uint64_t key = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), key, kKeyBase);
  const bool is_hexadecimal = error == std::errc{} && end == text.data() + text.size();
  return is_hexadecimal ? key : hash_of_text(text);
}

bool equals_ignoring_case(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](char one, char other) { return to_ascii_lower(one) == to_ascii_lower(other); });
}

}  // namespace cherryrail::protocol
