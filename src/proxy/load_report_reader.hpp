// Reads the load that backends report.
#pragma once

#include <string_view>

#include "config/site_settings.hpp"
#include "proxy/proxy_session.hpp"

namespace cherryrail::proxy {

class LoadReportReader {
 public:
  // Both arguments must outlive the reader.
  LoadReportReader(const config::SiteSettings& settings, Balancer& balancer);

  // Parses a backend's report on its overall load, such as "inflight=7,queue=2,util=0.61".
  static LoadReport parse(std::string_view fields);
  // Passes the value of a LOAD line on an established session to the balancer, as a session load or a message
  // latency, whichever the site's backends report.
  void report_load_line(ProxySession& session, double value) const;

 private:
  const config::SiteSettings& settings_;
  Balancer& balancer_;
};

}  // namespace cherryrail::proxy
