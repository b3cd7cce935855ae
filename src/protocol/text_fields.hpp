// Parses the elements of wire lines and settings: numbers, keys and lists of "name=value" fields.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace cherryrail::protocol {

// Removes the text up to and including the first `delimiter` from the front of `text` and returns it without
// the delimiter. If there is no delimiter, all of `text` is removed and returned.
std::string_view take_until(std::string_view& text, char delimiter);

// The value of one field of a list such as "c=talk,d=20000"; empty if the field is missing.
std::string_view find_field(std::string_view list, std::string_view name);

// The value of one field of a load report such as "inflight=7,queue=2,util=0.61"; empty if the field is
// missing or not a number.
std::optional<double> find_report_field(std::string_view report, std::string_view name);

// Parses a text that consists of one finite decimal number; empty otherwise.
std::optional<double> parse_number(std::string_view text);

// The FNV-1a hash of a text, which is the same in every process and build.
std::uint64_t hash_of_text(std::string_view text);

// Parses a key for hashing. Keys are normally hexadecimal numbers; any other text gives its FNV-1a hash,
// which is the same in every relay. An empty text gives 0.
std::uint64_t parse_key(std::string_view text);

// Compares two ASCII texts, ignoring case.
bool equals_ignoring_case(std::string_view left, std::string_view right);

}  // namespace cherryrail::protocol
