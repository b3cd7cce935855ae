#include "protocol/endpoint_list.hpp"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace cherryrail::protocol {
namespace {

double number_at(const nlohmann::json& entry, const char* key, double otherwise) {
  const auto found = entry.find(key);
  if (found == entry.end() || !found->is_number()) return otherwise;
  const double value = found->get<double>();
  return std::isfinite(value) && value >= 0 && value < 1e15 ? value : otherwise;
}

std::string text_at(const nlohmann::json& entry, const char* key) {
  const auto found = entry.find(key);
  return found != entry.end() && found->is_string() ? found->get<std::string>() : std::string();
}

}  // namespace

EndpointList read_list(const nlohmann::json& json) {
  if (!json.is_object()) throw std::runtime_error("the list is not an object");
  EndpointList list;
  list.version = static_cast<std::int64_t>(number_at(json, "rev", 0));
  list.whole = json.value("all", false);
  const auto targets = json.find("targets");
  if (targets == json.end() || !targets->is_array()) throw std::runtime_error("targets: not a list");
  for (const auto& target : *targets) {
    EndpointEntry entry;
    entry.uid = target.is_object() ? text_at(target, "uid") : std::string();
    if (entry.uid.empty()) throw std::runtime_error("targets: an entry without uid");
    entry.endpoint = text_at(target, "endpoint");
    entry.zone = text_at(target, "az");
    entry.cell = static_cast<unsigned>(std::min(number_at(target, "pod_group", 0), 1e9));
    entry.size = number_at(target, "capacity_hint", 1);
    entry.started_at = static_cast<Micros>(number_at(target, "boot_ms", 0) * 1000);
    const std::string state = text_at(target, "state");
    if (state != "active" && state != "leaving" && state != "left") {
      ++list.skipped;  // a state of a later time: what is not understood is not acted on
      continue;
    }
    entry.state = state == "active"    ? EndpointState::ready
                  : state == "leaving" ? EndpointState::draining
                                       : EndpointState::gone;
    list.entries.push_back(std::move(entry));
  }
  return list;
}

EndpointList read_list(std::string_view text) {
  try {
    return read_list(nlohmann::json::parse(text));
  } catch (const nlohmann::json::exception& error) {
    throw std::runtime_error(error.what());
  }
}

}  // namespace cherryrail::protocol
