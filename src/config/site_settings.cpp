#include "config/site_settings.hpp"

#include <algorithm>
#include <array>
#include <string_view>

#include "config/milliseconds.hpp"
#include "config/settings_reader.hpp"

namespace cherryrail::config {
namespace {

// Far above the values of any site; a larger value is a mistake.
constexpr NumberRange kTrafficClassCount{0, 256};
constexpr NumberRange kTenantCount{0, 1e6};
constexpr NumberRange kTenantShare{0, 1e12};
constexpr NumberRange kRelayCount{1, 65535};
constexpr NumberRange kRelayIndex{0, 65535};
constexpr NumberRange kZoneIndex{0, 255};
constexpr NumberRange kAttemptCount{1, 255};
constexpr NumberRange kMessageObjectiveMilliseconds{0, 1e9};

constexpr NumberRange kFraction{0, 1};
constexpr NumberRange kTopNines{1e-3, 100};  // an exponent; 0 would remove the weight

// The default message latency objective is a third of the attempt latency objective.
constexpr double kAttemptMicrosPerMessageMillisecond = 3 * 1000;

// Fields of a load report that can hold the utilization, by their names in report.fields. If a report has
// both, the later name takes precedence.
constexpr std::array<std::string_view, 2> kUtilizationFields = {"busy", "x0"};
constexpr std::size_t kReportFieldCount = 4;  // how many values a load report carries

TrafficClass read_traffic_class(const SettingsReader& reader, std::size_t index) {
  const std::string path = "profiles." + std::to_string(index) + ".";
  TrafficClass traffic_class;
  traffic_class.index = index;
  const Micros attempt_objective = reader.duration(path + "setup_goal");
  traffic_class.attempt_latency_objective = attempt_objective;
  traffic_class.client_timeout = reader.duration(path + "client_timeout");
  const double default_message_objective =
      static_cast<double>(attempt_objective) / kAttemptMicrosPerMessageMillisecond;
  traffic_class.message_latency_objective = micros_from_milliseconds(reader.number_in_list(
      "domain.message_aim", index, kMessageObjectiveMilliseconds, default_message_objective));
  traffic_class.deduplication_window = reader.duration(path + "window");
  traffic_class.priority_weight = reader.number(path + "payoff", 1);
  traffic_class.idempotency =
      reader.choice<Idempotency>(path + "semantics", {{"idempotent", Idempotency::idempotent},
                                                      {"deduplicated", Idempotency::idempotency_key},
                                                      {"at_most_once", Idempotency::non_idempotent}});
  traffic_class.deduplication_scope =
      reader.choice<DeduplicationScope>(path + "key_scope", {{"all", DeduplicationScope::all},
                                                             {"zone", DeduplicationScope::zone},
                                                             {"cell", DeduplicationScope::cell}});
  return traffic_class;
}

std::vector<TrafficClass> read_traffic_classes(const SettingsReader& reader) {
  constexpr std::string_view kKey = "profiles.count";
  const unsigned count = reader.whole_number(kKey, 0, kTrafficClassCount);
  if (count == 0) SettingsReader::throw_mismatch({kKey, reader.text(kKey)}, "a count of at least one");
  std::vector<TrafficClass> traffic_classes;
  for (std::size_t index = 0; index < count; ++index)
    traffic_classes.push_back(read_traffic_class(reader, index));
  return traffic_classes;
}

std::vector<double> read_tenant_shares(const SettingsReader& reader) {
  const unsigned count = reader.whole_number("tenants.count", 0, kTenantCount);
  std::vector<double> shares;
  for (std::size_t index = 0; index < count; ++index)
    shares.push_back(reader.number_in_list("domain.tenant_quota_connections", index, kTenantShare, 0));
  return shares;
}

void read_fleet(const SettingsReader& reader, BalancerConfig& config) {
  config.relay_count = reader.whole_number("balancers", 1, kRelayCount);
  config.relay_index = reader.whole_number("me", 0, kRelayIndex);
  config.zone = reader.whole_number("zone", 0, kZoneIndex);
  config.cross_zone_price = reader.number("prices.cross_zone", 0);
}

void read_permissions(const SettingsReader& reader, BalancerConfig& config) {
  config.max_attempts = reader.whole_number("permissions.max_setups", 1, kAttemptCount);
  config.must_request_endpoints = reader.choice<bool>("discovery", {{"pushed", false}, {"on_request", true}});
  config.may_check_health = reader.flag("permissions.probing");
  config.may_cancel_attempts = reader.flag("permissions.may_cancel");
  config.may_send_retry_after = reader.flag("permissions.retry_after");
  config.max_retry_after = reader.duration("permissions.max_retry_after");
}

void read_invariants(const SettingsReader& reader, BalancerConfig& config) {
  config.endpoint_request_interval = reader.duration("invariants.ask_within");
  config.timer_resolution = reader.duration("step");
  config.overload_window = reader.duration("invariants.fall");
  config.slow_start_duration = reader.duration("invariants.warm_up");
  config.overload_factor = reader.number("invariants.fall_multiple", 1);
  config.slow_start_initial_factor = reader.number("invariants.cold_from", 1, kFraction);
}

void read_retry_budget(const SettingsReader& reader, BalancerConfig& config) {
  constexpr std::string_view kWindowKey = "invariants.resend_span";
  config.retry_budget_ratio = reader.number("invariants.extra_per_request", 0);
  config.retry_budget_minimum = reader.number("invariants.budget_free", 0);
  config.retry_budget_window = reader.duration(kWindowKey);
  const bool has_retry_budget = config.retry_budget_ratio > 0 || config.retry_budget_minimum > 0;
  if (has_retry_budget && config.retry_budget_window <= 0)
    SettingsReader::throw_mismatch({kWindowKey, reader.text(kWindowKey)}, "a time above 0, with a budget");
}

// The balancer does not use these settings, which weight unserved seconds, but invalid values are rejected.
void check_objective_mix(const SettingsReader& reader) {
  reader.number("objective_mix.nines_part", 0);
  reader.number("objective_mix.top_nines", 1, kTopNines);
}

std::optional<std::size_t> find_utilization(const std::vector<std::string_view>& fields) {
  std::optional<std::size_t> position;
  for (const std::string_view name : kUtilizationFields) {
    for (std::size_t index = 0; index < std::min(fields.size(), kReportFieldCount); ++index) {
      if (fields[index] == name) position = index;
    }
  }
  return position;
}

std::vector<std::string> read_names(const SettingsReader& reader, const std::string& section,
                                    std::size_t count) {
  std::vector<std::string> names;
  for (std::size_t index = 0; index < count; ++index)
    names.emplace_back(reader.text(section + "." + std::to_string(index) + ".name"));
  return names;
}

std::vector<std::string> read_zone_names(const SettingsReader& reader) {
  const std::vector<std::string_view> names = reader.list("zones");
  return {names.begin(), names.end()};
}

void read_domain(const SettingsReader& reader, SiteSettings& settings) {
  settings.is_session_load_reported = reader.flag("domain.tells_load");
  settings.is_message_latency_reported = reader.flag("domain.tells_delay");
  settings.key_field_identifies_group = reader.flag("domain.groups");
}

void read_timeouts(const SettingsReader& reader, SiteSettings& settings) {
  settings.drain_grace = reader.duration("invariants.stop_sending_within");
  settings.connect_timeout = reader.duration("permissions.connect_timeout");
  settings.idle_timeout = reader.duration("permissions.conn_idle");
}

}  // namespace

// The order of the sections decides which of several errors is reported.
SiteSettings read_site_settings(const FlatSettings& flat_settings) {
  const SettingsReader reader(flat_settings);
  SiteSettings settings;
  BalancerConfig& config = settings.config;
  config.traffic_classes = read_traffic_classes(reader);
  config.tenant_shares = read_tenant_shares(reader);
  read_fleet(reader, config);
  read_permissions(reader, config);
  read_invariants(reader, config);
  config.health_check_price = reader.number("prices.probe", 0);
  read_retry_budget(reader, config);
  check_objective_mix(reader);
  settings.utilization_index = find_utilization(reader.list("report.fields"));
  settings.reports_on_health_check = reader.text("report.how") == "on_probe";
  settings.traffic_class_names = read_names(reader, "profiles", config.traffic_classes.size());
  settings.tenant_names = read_names(reader, "tenants", config.tenant_shares.size());
  settings.zone_names = read_zone_names(reader);
  read_domain(reader, settings);
  read_timeouts(reader, settings);
  return settings;
}

}  // namespace cherryrail::config
