#include "config/site_settings.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace cherryrail {
namespace {

// A setting without a value stands empty or as the word null.
bool is_absent(std::string_view text) { return text.empty() || text == "null"; }

std::string_view item_of(std::string_view list, std::size_t index) {
  while (index-- > 0) {
    const std::size_t comma = list.find(',');
    if (comma == std::string_view::npos) return "";
    list.remove_prefix(comma + 1);
  }
  return list.substr(0, list.find(','));
}

// Reads single values out of the settings, checked; what is wrong is said with its key.
class Pairs {
 public:
  explicit Pairs(const FlatSettings& pairs) : pairs_(pairs) {}

  std::string_view word(std::string_view key, std::string_view otherwise = "") const {
    const auto found = pairs_.find(key);
    return found == pairs_.end() || is_absent(found->second) ? otherwise : found->second;
  }

  double number(std::string_view key, double otherwise, double least = 0, double most = 1e15) const {
    const auto found = pairs_.find(key);
    if (found == pairs_.end() || is_absent(found->second)) return otherwise;
    return number_in(key, found->second, least, most);
  }

  // One of a list of numbers.
  double number_at(std::string_view key, std::size_t index, double otherwise, double most) const {
    const std::string_view item = item_of(word(key), index);
    return is_absent(item) ? otherwise : number_in(key, item, 0, most);
  }
  static double number_in(std::string_view key, std::string_view text, double least, double most) {
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size() || !std::isfinite(value))
      fail(key, text, "a number");
    if (value < least || value > most) fail(key, text, "a number in its range");
    return value;
  }

  unsigned whole(std::string_view key, unsigned otherwise, double least, double most) const {
    return static_cast<unsigned>(number(key, otherwise, least, most));
  }

  Micros time(std::string_view key) const { return micros_of(number(key, 0, 0, 1e12)); }

  bool flag(std::string_view key) const {
    const std::string_view text = word(key, "false");
    if (text == "true" || text == "1") return true;
    if (text != "false" && text != "0") fail(key, text, "true or false");
    return false;
  }

  template <class Value>
  Value choice(std::string_view key, std::initializer_list<std::pair<std::string_view, Value>> words) const {
    const std::string_view text = word(key, words.begin()->first);
    for (const auto& [name, value] : words) {
      if (text == name) return value;
    }
    fail(key, text, "a word known here");
  }

  [[noreturn]] static void fail(std::string_view key, std::string_view text, std::string_view wanted) {
    throw ConfigError("setting " + std::string(key) + ": '" + std::string(text) + "' is not " +
                      std::string(wanted));
  }

 private:
  const FlatSettings& pairs_;
};

TrafficClass read_profile(const Pairs& pairs, std::size_t index) {
  const std::string at = "profiles." + std::to_string(index) + ".";
  TrafficClass traffic_class;
  traffic_class.index = index;
  traffic_class.attempt_latency_objective = pairs.time(at + "setup_goal");
  traffic_class.client_timeout = pairs.time(at + "client_timeout");
  traffic_class.message_latency_objective = micros_of(pairs.number_at(
      "domain.message_aim", index, static_cast<double>(traffic_class.attempt_latency_objective) / 3000, 1e9));
  traffic_class.window = pairs.time(at + "window");
  traffic_class.priority_weight = pairs.number(at + "payoff", 1);
  traffic_class.idempotency =
      pairs.choice<Idempotency>(at + "semantics", {{"idempotent", Idempotency::idempotent},
                                                   {"deduplicated", Idempotency::idempotency_key},
                                                   {"at_most_once", Idempotency::non_idempotent}});
  traffic_class.scope =
      pairs.choice<DeduplicationScope>(at + "key_scope", {{"all", DeduplicationScope::all},
                                                          {"zone", DeduplicationScope::zone},
                                                          {"cell", DeduplicationScope::cell}});
  return traffic_class;
}

}  // namespace

Micros micros_of(double milliseconds) { return std::llround(milliseconds * 1000); }

FlatSettings split_settings(std::string_view text) {
  FlatSettings flat_settings;
  while (!text.empty()) {
    const std::size_t end = text.find('\n');
    std::string_view line = text.substr(0, end);
    text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    const std::size_t equals = line.find('=');
    if (equals != std::string_view::npos)
      flat_settings.insert_or_assign(std::string(line.substr(0, equals)),
                                     std::string(line.substr(equals + 1)));
  }
  return flat_settings;
}

SiteSettings read_site_settings(const FlatSettings& flat_settings) {
  const Pairs pairs(flat_settings);
  SiteSettings settings;
  BalancerConfig& config = settings.config;
  const unsigned traffic_classes = pairs.whole("profiles.count", 0, 0, 256);
  if (traffic_classes == 0)
    Pairs::fail("profiles.count", pairs.word("profiles.count"), "a count of at least one");
  for (std::size_t i = 0; i < traffic_classes; ++i) config.traffic_classes.push_back(read_profile(pairs, i));
  const unsigned tenants = pairs.whole("tenants.count", 0, 0, 1e6);
  for (std::size_t i = 0; i < tenants; ++i)
    config.tenant_shares.push_back(pairs.number_at("domain.tenant_quota_connections", i, 0, 1e12));
  config.relay_count = pairs.whole("balancers", 1, 1, 65535);
  config.me = pairs.whole("me", 0, 0, 65535);
  config.zone = pairs.whole("zone", 0, 0, 255);
  config.cross_price = pairs.number("prices.cross_zone", 0);
  config.max_attempts = pairs.whole("permissions.max_setups", 1, 1, 255);
  config.list_on_request = pairs.choice<bool>("discovery", {{"pushed", false}, {"on_request", true}});
  config.may_probe = pairs.flag("permissions.probing");
  config.may_cancel_attempts = pairs.flag("permissions.may_cancel");
  config.may_advise = pairs.flag("permissions.retry_after");
  config.longest_advice = pairs.time("permissions.max_retry_after");
  config.ask_within = pairs.time("invariants.ask_within");
  config.step = pairs.time("step");
  config.fall_window = pairs.time("invariants.fall");
  config.warm_up = pairs.time("invariants.warm_up");
  config.fall_multiple = pairs.number("invariants.fall_multiple", 1);
  config.cold_from = pairs.number("invariants.cold_from", 1, 0, 1);
  config.probe_price = pairs.number("prices.probe", 0);
  config.budget_share = pairs.number("invariants.extra_per_request", 0);
  config.budget_free = pairs.number("invariants.budget_free", 0);
  config.budget_window = pairs.time("invariants.resend_span");
  if (config.budget_window <= 0 && (config.budget_share > 0 || config.budget_free > 0))
    Pairs::fail("invariants.resend_span", pairs.word("invariants.resend_span"),
                "a time above 0, with a budget");
  // Checked, but no decision turns on how unserved seconds are weighed.
  pairs.number("objective_mix.nines_part", 0);
  pairs.number("objective_mix.top_nines", 1, 1e-3, 100);
  const std::string_view fields = pairs.word("report.fields");
  for (const std::string_view wanted : {std::string_view("busy"), std::string_view("x0")}) {
    for (std::size_t i = 0; i < 4; ++i) {
      if (item_of(fields, i) == wanted) settings.utilisation_at = i;
    }
  }
  settings.reports_on_probe = pairs.word("report.how") == "on_probe";
  for (std::size_t i = 0; i < traffic_classes; ++i)
    settings.profile_names.emplace_back(pairs.word("profiles." + std::to_string(i) + ".name"));
  for (std::size_t i = 0; i < tenants; ++i)
    settings.tenant_names.emplace_back(pairs.word("tenants." + std::to_string(i) + ".name"));
  for (std::string_view zones = pairs.word("zones"); !zones.empty();) {
    const std::string_view zone = item_of(zones, 0);
    settings.zone_names.emplace_back(zone);
    zones.remove_prefix(std::min(zones.size(), zone.size() + 1));
  }
  settings.tells_load = pairs.flag("domain.tells_load");
  settings.tells_delay = pairs.flag("domain.tells_delay");
  settings.grouped = pairs.flag("domain.groups");
  settings.drain_grace = pairs.time("invariants.stop_sending_within");
  settings.connect_within = pairs.time("permissions.connect_timeout");
  settings.idle_after = pairs.time("permissions.conn_idle");
  return settings;
}

}  // namespace cherryrail
