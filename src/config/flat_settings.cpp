#include "config/flat_settings.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "protocol/text_fields.hpp"

namespace cherryrail::config {
namespace {

using nlohmann::json;

std::string path_of(const std::string& parent, const std::string& name) {
  return parent.empty() ? name : parent + "." + name;
}

std::string text_of(const json& value) { return value.is_string() ? value.get<std::string>() : value.dump(); }

bool contains_objects(const json& list) {
  return std::any_of(list.begin(), list.end(), [](const json& item) { return item.is_object(); });
}

std::string join_with_commas(const json& list) {
  std::string text;
  for (const json& item : list) {
    if (&item != &list.front()) text += ',';
    text += text_of(item);
  }
  return text;
}

// NOLINTNEXTLINE(misc-no-recursion): the depth is that of the operator's own configuration file.
void flatten_into(FlatSettings& flat_settings, const std::string& path, const json& value) {
  if (value.is_object()) {
    for (const auto& [name, inner] : value.items()) flatten_into(flat_settings, path_of(path, name), inner);
  } else if (value.is_array() && contains_objects(value)) {
    flat_settings[path + ".count"] = std::to_string(value.size());
    for (std::size_t index = 0; index < value.size(); ++index)
      flatten_into(flat_settings, path_of(path, std::to_string(index)), value[index]);
  } else if (value.is_array()) {
    flat_settings[path] += join_with_commas(value);
  } else {
    flat_settings[path] = text_of(value);
  }
}

}  // namespace

FlatSettings parse_setting_lines(std::string_view text) {
  FlatSettings flat_settings;
  while (!text.empty()) {
    std::string_view line = protocol::take_until(text, '\n');
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    const std::size_t equals = line.find('=');
    if (equals == std::string_view::npos) continue;
    std::string path(line.substr(0, equals));
    flat_settings.insert_or_assign(std::move(path), std::string(line.substr(equals + 1)));
  }
  return flat_settings;
}

FlatSettings flatten_json(const json& settings) {
  FlatSettings flat_settings;
  flatten_into(flat_settings, "", settings);
  return flat_settings;
}

}  // namespace cherryrail::config
