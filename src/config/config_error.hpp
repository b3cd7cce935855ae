// Configuration errors: thrown while the configuration is read, and shown to the operator verbatim.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

namespace cherryrail::config {

// Where an invalid value comes from.
enum class ConfigSource : std::uint8_t { file, setting, environment };

// A value with its key: the path of a setting, such as profiles.0.payoff, or the name of an environment
// variable. The key is empty if the error concerns the whole configuration.
struct ConfigValue {
  std::string_view key;
  std::string_view value;
};

// what() is the complete message for the operator: the key, unless it is empty, and the problem.
class ConfigError : public std::runtime_error {
 public:
  ConfigError(ConfigSource source, const ConfigValue& invalid, std::string_view problem)
      : std::runtime_error(describe(source, invalid.key, problem)), source_(source), key_(invalid.key),
        value_(invalid.value) {}

  ConfigSource source() const { return source_; }
  const std::string& key() const { return key_; }
  const std::string& value() const { return value_; }  // as read; empty if it is missing

 private:
  static std::string describe(ConfigSource source, std::string_view key, std::string_view problem) {
    if (key.empty()) return std::string(problem);
    std::string text = source == ConfigSource::setting ? "setting " : "";
    text.append(key).append(": ").append(problem);
    return text;
  }

  ConfigSource source_;
  std::string key_;
  std::string value_;
};

// The configuration is temporarily unreadable or incomplete, for example while the file is being written. A
// later read may succeed.
class IncompleteConfigError : public ConfigError {
 public:
  IncompleteConfigError(const ConfigValue& invalid, std::string_view problem)
      : ConfigError(ConfigSource::file, invalid, problem) {}
};

// The problem text for a value of the wrong kind, such as "'much' is not a number".
inline std::string describe_mismatch(std::string_view value, std::string_view expected) {
  std::string problem = "'";
  problem.append(value).append("' is not ").append(expected);
  return problem;
}

}  // namespace cherryrail::config
