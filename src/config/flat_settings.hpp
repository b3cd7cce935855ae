// A site's settings as texts by path, the one form in which they are read. The simulator sends them as
// "path=value" lines, the relay's file has them as nested JSON; both give the same paths.
#pragma once

#include <functional>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace cherryrail::config {

// By path, such as profiles.0.payoff.
using FlatSettings = std::map<std::string, std::string, std::less<>>;

// One "path=value" a line; lines without '=' are skipped, and of a path that comes twice the last value
// holds.
FlatSettings parse_setting_lines(std::string_view text);

// Nested objects become paths. A list of plain values becomes one text, joined by commas; a list that holds
// objects is numbered, and its length is at "<path>.count". `settings` has to be an object.
FlatSettings flatten_json(const nlohmann::json& settings);

}  // namespace cherryrail::config
