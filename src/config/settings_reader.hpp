// Typed and validated access to single settings.
#pragma once

#include <cstddef>
#include <initializer_list>
#include <string_view>
#include <utility>
#include <vector>

#include "balancer/time.hpp"
#include "config/config_error.hpp"
#include "config/flat_settings.hpp"

namespace cherryrail::config {

// An allowed range; both ends are included.
struct NumberRange {
  double minimum = 0;
  double maximum = 1e15;  // larger doubles lose integer digits and overflow the types that they are cast to
};

// Reads settings by path. A setting that is missing, empty or "null" has no value, and its fallback is
// returned. A value of the wrong kind or out of range throws ConfigError. The settings must outlive the
// reader and the views that it returns.
class SettingsReader {
 public:
  explicit SettingsReader(const FlatSettings& flat_settings) : flat_settings_(flat_settings) {}

  std::string_view text(std::string_view key) const;               // empty if unset
  std::vector<std::string_view> list(std::string_view key) const;  // of a comma-separated text
  double number(std::string_view key, double fallback, NumberRange range = {}) const;
  double number_in_list(std::string_view key, std::size_t index, NumberRange range, double fallback) const;
  unsigned whole_number(std::string_view key, unsigned fallback, NumberRange range) const;  // rounded down
  Micros duration(std::string_view key) const;  // set in milliseconds; 0 if unset
  bool flag(std::string_view key) const;        // false if unset

  // Maps one of the given words to its value; the first one is the default.
  template <class Value>
  Value choice(std::string_view key, std::initializer_list<std::pair<std::string_view, Value>> words) const {
    const std::string_view chosen = text(key);
    if (chosen.empty()) return words.begin()->second;
    for (const auto& [word, value] : words) {
      if (chosen == word) return value;
    }
    throw_mismatch({key, chosen}, "a word known here");
  }

  // Throws the ConfigError for a setting whose value is not what is expected.
  [[noreturn]] static void throw_mismatch(const ConfigValue& setting, std::string_view expected);

 private:
  const FlatSettings& flat_settings_;
};

}  // namespace cherryrail::config
