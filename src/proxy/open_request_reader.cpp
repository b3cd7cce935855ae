#include "proxy/open_request_reader.hpp"

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

#include "config/milliseconds.hpp"
#include "protocol/text_fields.hpp"

namespace cherryrail::proxy {
namespace {

// Larger values are neither a plausible timeout (eleven days) nor a plausible load, and would not
// fit the types they are converted to.
constexpr double kMaxTimeoutMilliseconds = 1e9;
constexpr double kMaxLoadHint = 1e12;

// A client that asks for more time is answered after this time, or after the longest timeout of any traffic
// class if that is longer: what is kept for a client must not last as long as it likes.
constexpr Micros kMaxClientWait = 60 * kSecond;

Micros max_client_wait(const std::vector<TrafficClass>& traffic_classes) {
  Micros longest = kMaxClientWait;
  for (const TrafficClass& traffic_class : traffic_classes)
    longest = std::max(longest, traffic_class.client_timeout);
  return longest;
}

// The index of `name` in `names`, or the size of `names` if it is not found.
std::size_t position_of(std::string_view name, const std::vector<std::string>& names) {
  return static_cast<std::size_t>(std::find(names.begin(), names.end(), name) - names.begin());
}

}  // namespace

const char* describe(SessionRequestFault fault, const protocol::OpenRequest& request) {
  switch (fault) {
    case SessionRequestFault::malformed:
      return protocol::describe(*request.fault());
    case SessionRequestFault::unknown_traffic_class:
      return "unknown traffic class";
    case SessionRequestFault::no_client_timeout:
      return "missing or invalid client timeout";
    case SessionRequestFault::duplicate_id:
      return "duplicate session id";
  }
  return "unknown";
}

OpenRequestReader::OpenRequestReader(const config::SiteSettings& settings, const Balancer& balancer)
    : settings_(settings), balancer_(balancer) {}

std::optional<SessionRequestFault> OpenRequestReader::read(ProxySession& session, Micros now) const {
  const protocol::OpenRequest& request = session.request();
  if (request.fault()) return SessionRequestFault::malformed;

  const std::vector<TrafficClass>& traffic_classes = balancer_.traffic_classes();
  const std::size_t traffic_class = position_of(request.value("c"), settings_.traffic_class_names);
  if (traffic_class >= traffic_classes.size()) return SessionRequestFault::unknown_traffic_class;
  session.traffic_class = &traffic_classes[traffic_class];

  const auto timeout = protocol::parse_number(request.value("d"));
  if (!timeout || *timeout <= 0 || *timeout > kMaxTimeoutMilliseconds)
    return SessionRequestFault::no_client_timeout;
  const Micros wait = std::min(config::micros_from_milliseconds(*timeout), max_client_wait(traffic_classes));
  session.deadline = now + wait;

  read_keys(session);
  const auto load_hint = protocol::parse_number(request.value("h"));
  if (load_hint && *load_hint > 0 && *load_hint < kMaxLoadHint)
    session.load_hint = *load_hint * 1000;  // per millisecond in the request, per second in the session
  read_tenant(session);
  session.is_reconnecting = request.value("r") == "1" || request.value("again") == "1";
  return {};
}

void OpenRequestReader::read_keys(ProxySession& session) const {
  session.client_key = session.request().flow_key();
  const std::uint64_t key = protocol::parse_key(session.request().value("g"));
  if (settings_.key_field_identifies_group) {
    session.group_key = key;
  } else if (key != 0) {
    session.client_key = key;
  }
}

// The field's name differs between sites; the last of these fields that is present applies.
void OpenRequestReader::read_tenant(ProxySession& session) const {
  for (const char* field : {"t", "tenant", "realm"}) {
    const std::string_view tenant = session.request().value(field);
    if (!tenant.empty()) session.tenant = position_of(tenant, settings_.tenant_names);
  }
}

}  // namespace cherryrail::proxy
