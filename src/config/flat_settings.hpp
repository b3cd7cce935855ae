// A site's settings as a flat map from path to text, the form in which SettingsReader reads them. The
// simulator sends "path=value" lines and the relay's configuration file holds nested JSON; both yield the
// same paths.
#pragma once

#include <functional>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace cherryrail::config {

// Values by path; a path looks like profiles.0.payoff.
using FlatSettings = std::map<std::string, std::string, std::less<>>;

// Parses one "path=value" per line. Lines without '=' are skipped; if a path occurs more than once, the last
// value wins.
FlatSettings parse_setting_lines(std::string_view text);

// Flattens nested objects into paths. A list of scalars becomes one comma-separated text. The items of a list
// that contains objects are numbered, and the list's length is stored under "<path>.count". `settings` must
// be an object.
FlatSettings flatten_json(const nlohmann::json& settings);

}  // namespace cherryrail::config
