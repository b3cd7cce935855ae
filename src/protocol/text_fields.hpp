// The small values that lines on the wire and settings are made of: numbers, keys, lists of "name=value".
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace cherryrail::protocol {

// Removes the text before the first `delimiter`, and the delimiter, from the front of `text` and returns it.
// Without a delimiter the whole of `text` is taken.
std::string_view take_until(std::string_view& text, char delimiter);

// The value of one field of a list such as "c=talk,d=20000"; empty if the list does not have the field.
std::string_view find_field(std::string_view list, std::string_view name);

// The value of one field of a load report such as "inflight=7,queue=2,util=0.61"; none if the report does not
// have the field or its value is not a number.
std::optional<double> find_report_field(std::string_view report, std::string_view name);

// A finite decimal number that fills the whole text.
std::optional<double> parse_number(std::string_view text);

// A hashing key: the number if the text is hexadecimal, as keys are written, else a hash of the text that is
// the same in every relay; 0 for an empty text.
std::uint64_t parse_key(std::string_view text);

// Compares two ASCII texts without regard to upper and lower case.
bool equals_ignoring_case(std::string_view left, std::string_view right);

}  // namespace cherryrail::protocol
