// Reads a session's properties from its open request.
#pragma once

#include <cstdint>
#include <optional>

#include "config/site_settings.hpp"
#include "proxy/proxy_session.hpp"

namespace cherryrail::proxy {

// Why a session cannot be opened.
enum class SessionRequestFault : std::uint8_t {
  malformed,  // the line is no open request at all
  unknown_traffic_class,
  no_client_timeout,
  duplicate_id,
};

// The text for the log, after "bad open request: ".
const char* describe(SessionRequestFault fault, const protocol::OpenRequest& request);

class OpenRequestReader {
 public:
  // Both have to outlive the reader.
  OpenRequestReader(const config::SiteSettings& settings, const Balancer& balancer);

  // Sets what the balancer has to know of the session; a fault if it cannot be opened. `now` is when the
  // client's time to wait begins.
  std::optional<SessionRequestFault> read(ProxySession& session, Micros now) const;

 private:
  void read_keys(ProxySession& session) const;
  void read_tenant(ProxySession& session) const;

  const config::SiteSettings& settings_;
  const Balancer& balancer_;
};

}  // namespace cherryrail::proxy
