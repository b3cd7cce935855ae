// Typed, checked access to one setting at a time.
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

// Both ends belong to it.
struct NumberRange {
  double least = 0;
  double most = 1e15;  // larger numbers have lost their last digits and would not fit what they are cast to
};

// Reads settings by path. A setting that is missing, empty or the word null has no value: its fallback is
// given. A value of the wrong kind or out of its range throws ConfigError. The settings have to outlive the
// reader and the texts it gives.
class SettingsReader {
 public:
  explicit SettingsReader(const FlatSettings& flat_settings) : flat_settings_(flat_settings) {}

  std::string_view text(std::string_view key) const;               // empty without a value
  std::vector<std::string_view> list(std::string_view key) const;  // of a text with commas
  double number(std::string_view key, double fallback, NumberRange range = {}) const;
  double number_in_list(std::string_view key, std::size_t index, NumberRange range, double fallback) const;
  unsigned whole_number(std::string_view key, unsigned fallback, NumberRange range) const;  // rounded down
  Micros duration(std::string_view key) const;  // from milliseconds; 0 without a value
  bool flag(std::string_view key) const;        // false without a value

  // One of some known words; the first of them without a value.
  template <class Value>
  Value choice(std::string_view key, std::initializer_list<std::pair<std::string_view, Value>> words) const {
    const std::string_view chosen = text(key);
    if (chosen.empty()) return words.begin()->second;
    for (const auto& [word, value] : words) {
      if (chosen == word) return value;
    }
    refuse({key, chosen}, "a word known here");
  }

  // Throws the ConfigError of a setting whose value is not what is wanted.
  [[noreturn]] static void refuse(const ConfigValue& setting, std::string_view wanted);

 private:
  const FlatSettings& flat_settings_;
};

}  // namespace cherryrail::config
