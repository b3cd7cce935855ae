#include "config/settings_reader.hpp"

#include "config/milliseconds.hpp"
#include "protocol/text_fields.hpp"

namespace cherryrail::config {
namespace {

constexpr NumberRange kMilliseconds{0, 1e12};  // about 30 years; a larger value suggests a wrong unit

bool has_no_value(std::string_view text) { return text.empty() || text == "null"; }

std::string_view list_item(std::string_view list, std::size_t index) {
  for (; index > 0; --index) protocol::take_until(list, ',');
  return protocol::take_until(list, ',');
}

double checked_number(const ConfigValue& setting, NumberRange range) {
  const auto number = protocol::parse_number(setting.value);
  if (!number) SettingsReader::throw_mismatch(setting, "a number");
  if (*number < range.minimum || *number > range.maximum)
    SettingsReader::throw_mismatch(setting, "a number in its range");
  return *number;
}

}  // namespace

std::string_view SettingsReader::text(std::string_view key) const {
  const auto found = flat_settings_.find(key);
  if (found == flat_settings_.end() || has_no_value(found->second)) return {};
  return found->second;
}

std::vector<std::string_view> SettingsReader::list(std::string_view key) const {
  std::vector<std::string_view> items;
  std::string_view unread = text(key);
  while (!unread.empty()) items.push_back(protocol::take_until(unread, ','));
  return items;
}

double SettingsReader::number(std::string_view key, double fallback, NumberRange range) const {
  const std::string_view value = text(key);
  return value.empty() ? fallback : checked_number({key, value}, range);
}

double SettingsReader::number_in_list(std::string_view key, std::size_t index, NumberRange range,
                                      double fallback) const {
  const std::string_view item = list_item(text(key), index);
  return has_no_value(item) ? fallback : checked_number({key, item}, range);
}

unsigned SettingsReader::whole_number(std::string_view key, unsigned fallback, NumberRange range) const {
  return static_cast<unsigned>(number(key, fallback, range));
}

Micros SettingsReader::duration(std::string_view key) const {
  return micros_from_milliseconds(number(key, 0, kMilliseconds));
}

bool SettingsReader::flag(std::string_view key) const {
  const std::string_view value = text(key);
  if (value == "true" || value == "1") return true;
  if (!value.empty() && value != "false" && value != "0") throw_mismatch({key, value}, "true or false");
  return false;
}

void SettingsReader::throw_mismatch(const ConfigValue& setting, std::string_view expected) {
  throw ConfigError(ConfigSource::setting, setting, describe_mismatch(setting.value, expected));
}

}  // namespace cherryrail::config
