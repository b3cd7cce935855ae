#include "proxy/discovery.hpp"

#include <algorithm>
#include <utility>

namespace cherryrail::proxy {
namespace {

// A discovery server that sends a lower version for this long has restarted its version counter. Shorter than
// the heartbeat interval.
constexpr Micros kVersionRestartDelay = 1'500'000;
constexpr std::int64_t kNoVersion = 0;  // requests the complete list

}  // namespace

Discovery::Discovery(net::EventLoop& event_loop, std::string address, std::int64_t version,
                     Micros first_line_timeout, OnList on_list, OnFailed on_failed)
    : event_loop_(event_loop), address_(std::move(address)), version_(version), on_list_(std::move(on_list)),
      on_failed_(std::move(on_failed)), first_line_timeout_(first_line_timeout) {}

Discovery::~Discovery() = default;

void Discovery::ensure_watching() {
  if (watch_) return;
  // After a restart of the server's version counter, a request for changes after the known version would
  // yield nothing, so the complete list is requested.
  const std::int64_t version = lower_version_since_ ? kNoVersion : version_;
  DiscoveryWatchOwner& owner = *this;
  watch_ = std::make_shared<DiscoveryWatch>(event_loop_, owner, address_, version, first_line_timeout_);
  watch_->start();
}

// The new address may be down or slow to start, so the watch at the old address is followed until the new one
// receives its first line, and only the new one from then on. After two changes in a row, the watch that has
// received a line is kept.
void Discovery::set_address(const std::string& address) {
  if (address == address_) return;
  address_ = address;
  lower_version_since_.reset();
  if (watch_ && watch_->has_received_line()) previous_watch_ = std::move(watch_);
  watch_.reset();
  event_loop_.log().write(net::Topic::discovery, "discovery address is now {}", address_);
  ensure_watching();
}

void Discovery::on_first_line(const DiscoveryWatch& watch) {
  if (&watch == watch_.get()) previous_watch_.reset();
}

void Discovery::on_list_line(DiscoveryWatch& watch, const std::string& line) {
  protocol::EndpointList list;
  try {
    list = protocol::parse_endpoint_list(line);
  } catch (const protocol::ProtocolError& error) {
    // A malformed list must not be applied in part: the previous list stays in force.
    return watch.end(error.what());
  }
  if (!is_current(list)) return watch.end("endpoint list older than the current one");
  version_ = list.version;
  on_list_(list, last_line_at());
}

// Each line, also a heartbeat, confirms that nothing else has changed up to its arrival.
Micros Discovery::last_line_at() const {
  Micros latest = last_line_of_ended_watches_;
  for (const auto* watch : {watch_.get(), previous_watch_.get()}) {
    if (watch) latest = std::max(latest, watch->last_line_at());
  }
  return latest;
}

// A lagging discovery server lists backends that are gone and omits new ones, so a lower version is ignored
// at first. Once the current address has sent only lower versions for kVersionRestartDelay, its version
// counter has restarted, and the lower version is accepted.
bool Discovery::is_current(const protocol::EndpointList& list) {
  if (list.version >= version_) {
    lower_version_since_.reset();
    return true;
  }
  const Micros now = event_loop_.now();
  if (!lower_version_since_) lower_version_since_ = now;
  if (now - *lower_version_since_ < kVersionRestartDelay) return false;
  lower_version_since_.reset();
  event_loop_.log().write(net::Topic::discovery, "version counter restarted at {}", list.version);
  return true;
}

void Discovery::on_watch_ended(const DiscoveryWatch& watch, const std::string& reason, Micros retry_within) {
  event_loop_.log().write(net::Topic::discovery, "watch ended: {}", reason);
  last_line_of_ended_watches_ = std::max(last_line_of_ended_watches_, watch.last_line_at());
  if (&watch == previous_watch_.get()) previous_watch_.reset();
  if (&watch != watch_.get()) return;
  watch_.reset();
  on_failed_(retry_within);
}

}  // namespace cherryrail::proxy
