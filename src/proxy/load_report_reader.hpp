// Reads what backends report of their load.
#pragma once

#include <string_view>

#include "config/site_settings.hpp"
#include "proxy/proxy_session.hpp"

namespace cherryrail::proxy {

class LoadReportReader {
 public:
  // Both have to outlive the reader.
  LoadReportReader(const config::SiteSettings& settings, Balancer& balancer);

  // A backend's report on all that it holds, such as "inflight=7,queue=2,util=0.61".
  static LoadReport parse(std::string_view fields);
  // A LOAD line on an established session: tells the balancer, as the value that the site's backends mean.
  void report_load_line(ProxySession& session, double value) const;

 private:
  const config::SiteSettings& settings_;
  Balancer& balancer_;
};

}  // namespace cherryrail::proxy
