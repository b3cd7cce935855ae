#include "proxy/load_report_reader.hpp"

#include "config/milliseconds.hpp"
#include "protocol/text_fields.hpp"

namespace cherryrail::proxy {
namespace {

// Larger values are not plausible as a utilization, load or latency.
constexpr double kMaxUtilization = 1e6;
constexpr double kMaxLoadLineValue = 1e12;

}  // namespace

LoadReportReader::LoadReportReader(const config::SiteSettings& settings, Balancer& balancer)
    : settings_(settings), balancer_(balancer) {}

// The field's name differs between sites; the last of these fields that is present applies.
LoadReport LoadReportReader::parse(std::string_view fields) {
  LoadReport report;
  for (const std::string_view name : {"util", "busy", "x0"}) {
    const auto value = protocol::find_report_field(fields, name);
    if (value && *value >= 0 && *value < kMaxUtilization) report.reported_utilization = *value;
  }
  return report;
}

// Where backends do not report session loads, the value is their message latency in milliseconds. If it were
// used as a load, it would corrupt the sums of loads and hide that the backend is overloaded.
void LoadReportReader::report_load_line(ProxySession& session, double value) const {
  const bool is_plausible = value >= 0 && value < kMaxLoadLineValue;
  if (!is_plausible) return;
  if (settings_.is_session_load_reported) {
    balancer_.on_load_reported(session, value);
  } else if (settings_.is_message_latency_reported) {
    balancer_.on_message_latency_reported(session, config::micros_from_milliseconds(value));
  }
}

}  // namespace cherryrail::proxy
