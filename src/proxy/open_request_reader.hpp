// Reads a session's properties from its open request.
#pragma once

#include <cstdint>
#include <optional>

#include "config/site_settings.hpp"
#include "proxy/proxy_session.hpp"

namespace cherryrail::proxy {

// Why a session cannot be opened.
enum class SessionRequestFault : std::uint8_t {
  malformed,  // the line does not parse as an open request
  unknown_traffic_class,
  no_client_timeout,
  duplicate_id,
};

// The text that follows "bad open request: " in the log.
const char* describe(SessionRequestFault fault, const protocol::OpenRequest& request);

class OpenRequestReader {
 public:
  // Both arguments must outlive the reader.
  OpenRequestReader(const config::SiteSettings& settings, const Balancer& balancer);

  // Sets the session properties that the balancer uses. Returns a fault if the session cannot be opened.
  // `now` is the start of the client's timeout.
  std::optional<SessionRequestFault> read(ProxySession& session, Micros now) const;

 private:
  void read_keys(ProxySession& session) const;
  void read_tenant(ProxySession& session) const;

  const config::SiteSettings& settings_;
  const Balancer& balancer_;
};

}  // namespace cherryrail::proxy
