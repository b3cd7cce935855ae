// What is wrong with a configuration: thrown while it is read, shown to the operator as it is.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

namespace cherryrail::config {

// Where a faulty value comes from.
enum class ConfigSource : std::uint8_t { file, setting, environment };

// A value with its key: a path such as profiles.0.payoff for a setting, the name of a variable for the
// environment, empty where the configuration as a whole is meant.
struct ConfigValue {
  std::string_view key;
  std::string_view value;
};

// what() is the whole text for the operator: the key, unless it is empty, and the problem.
class ConfigError : public std::runtime_error {
 public:
  ConfigError(ConfigSource where, const ConfigValue& fault, std::string_view problem)
      : std::runtime_error(describe(where, fault.key, problem)), where_(where), key_(fault.key),
        value_(fault.value) {}

  ConfigSource where() const { return where_; }
  const std::string& key() const { return key_; }
  const std::string& value() const { return value_; }  // as it was found; empty if it is missing

 private:
  static std::string describe(ConfigSource where, std::string_view key, std::string_view problem) {
    if (key.empty()) return std::string(problem);
    std::string text = where == ConfigSource::setting ? "setting " : "";
    text.append(key).append(": ").append(problem);
    return text;
  }

  ConfigSource where_;
  std::string key_;
  std::string value_;
};

// The configuration could not be read just now, or ends half-way: the next reading may find it whole.
class IncompleteConfigError : public ConfigError {
 public:
  IncompleteConfigError(const ConfigValue& fault, std::string_view problem)
      : ConfigError(ConfigSource::file, fault, problem) {}
};

// The problem of a value that is of the wrong kind: "'much' is not a number".
inline std::string is_not(std::string_view value, std::string_view wanted) {
  std::string problem = "'";
  problem.append(value).append("' is not ").append(wanted);
  return problem;
}

}  // namespace cherryrail::config
