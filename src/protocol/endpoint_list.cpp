#include "protocol/endpoint_list.hpp"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace cherryrail::protocol {
namespace {

using nlohmann::json;

constexpr double kNumberLimit = 1e15;  // smaller numbers fit the integer types that they are cast to
constexpr double kMaxCell = 1e9;
constexpr const char* kReadyWord = "active";
constexpr const char* kDrainingWord = "leaving";
constexpr const char* kGoneWord = "left";
constexpr std::size_t kMaxQuotedLength = 80;  // how much of an invalid message an error quotes

// The number at `key`, or `fallback` if it is missing, negative, not finite or too large.
double number_or(const json& entry, const char* key, double fallback) {
  const auto found = entry.find(key);
  if (found == entry.end() || !found->is_number()) return fallback;
  const double value = found->get<double>();
  const bool is_usable = std::isfinite(value) && value >= 0 && value < kNumberLimit;
  return is_usable ? value : fallback;
}

std::string text_or_empty(const json& entry, const char* key) {
  const auto found = entry.find(key);
  return found != entry.end() && found->is_string() ? found->get<std::string>() : std::string();
}

// A whole number where possible, so that it is read back exactly.
json milliseconds(Micros time) {
  if (time % kMillisecond == 0) return time / kMillisecond;
  return static_cast<double>(time) / static_cast<double>(kMillisecond);
}

std::optional<EndpointState> parse_state(std::string_view word) {
  if (word == kReadyWord) return EndpointState::ready;
  if (word == kDrainingWord) return EndpointState::draining;
  if (word == kGoneWord) return EndpointState::gone;
  return {};
}

const char* word_for(EndpointState state) {
  switch (state) {
    case EndpointState::ready:
      return kReadyWord;
    case EndpointState::draining:
      return kDrainingWord;
    case EndpointState::gone:
      return kGoneWord;
  }
  return kGoneWord;
}

// Returns nothing for an entry in an unknown state, which a later version of discovery may send.
std::optional<EndpointEntry> parse_entry(const json& target) {
  EndpointEntry entry;
  if (target.is_object()) entry.uid = text_or_empty(target, "uid");
  if (entry.uid.empty()) throw ProtocolError("targets", target.type_name(), "an entry has no uid");
  const auto state = parse_state(text_or_empty(target, "state"));
  if (!state) return {};
  entry.state = *state;
  entry.address = text_or_empty(target, "endpoint");
  entry.zone = text_or_empty(target, "az");
  entry.cell = static_cast<unsigned>(std::min(number_or(target, "pod_group", 0), kMaxCell));
  entry.capacity_hint = number_or(target, "capacity_hint", 1);
  entry.started_at = static_cast<Micros>(number_or(target, "boot_ms", 0) * static_cast<double>(kMillisecond));
  return entry;
}

EndpointList parse_list(const json& root) {
  if (!root.is_object()) throw ProtocolError("", root.type_name(), "the list is not an object");
  EndpointList list;
  list.version = static_cast<std::int64_t>(number_or(root, "rev", 0));
  list.is_complete = root.value("all", false);
  const auto targets = root.find("targets");
  if (targets == root.end()) throw ProtocolError("targets", "", "not a list");
  if (!targets->is_array()) throw ProtocolError("targets", targets->type_name(), "not a list");
  for (const json& target : *targets) {
    if (auto entry = parse_entry(target))
      list.entries.push_back(std::move(*entry));
    else
      ++list.skipped_entries;
  }
  return list;
}

}  // namespace

EndpointList parse_endpoint_list(const json& root) {
  try {
    return parse_list(root);
  } catch (const json::exception& error) {
    throw ProtocolError("", "", error.what());
  }
}

EndpointList parse_endpoint_list(std::string_view text) {
  try {
    return parse_list(json::parse(text));
  } catch (const json::exception& error) {
    throw ProtocolError("", std::string(text.substr(0, kMaxQuotedLength)), error.what());
  }
}

json to_json(const EndpointList& list) {
  json targets = json::array();
  for (const EndpointEntry& entry : list.entries) {
    targets.push_back({{"uid", entry.uid},
                       {"endpoint", entry.address},
                       {"az", entry.zone},
                       {"pod_group", entry.cell},
                       {"state", word_for(entry.state)},
                       {"capacity_hint", entry.capacity_hint},
                       {"boot_ms", milliseconds(entry.started_at)}});
  }
  return {{"rev", list.version}, {"all", list.is_complete}, {"targets", std::move(targets)}};
}

}  // namespace cherryrail::protocol
