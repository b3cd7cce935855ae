#include "proxy/discovery.hpp"

#include <algorithm>
#include <utility>

namespace cherryrail::proxy {
namespace {

// An address that has sent a lower version for so long, less than one heartbeat, counts its versions anew.
constexpr Micros kVersionRestartDelay = 1'500'000;
constexpr std::int64_t kNoVersion = 0;  // asks for the whole list

}  // namespace

Discovery::Discovery(net::EventLoop& event_loop, std::string address, std::int64_t version,
                     Micros first_line_timeout, OnList on_list, OnFailed on_failed)
    : event_loop_(event_loop), address_(std::move(address)), version_(version), on_list_(std::move(on_list)),
      on_failed_(std::move(on_failed)), first_line_timeout_(first_line_timeout) {}

Discovery::~Discovery() = default;

void Discovery::ensure_watching() {
  if (watch_) return;
  // Changes after a version that is counted otherwise would be none: then the whole list is asked for.
  const std::int64_t version = lower_version_since_ ? kNoVersion : version_;
  DiscoveryWatchOwner& owner = *this;
  watch_ = std::make_shared<DiscoveryWatch>(event_loop_, owner, address_, version, first_line_timeout_);
  watch_->start();
}

// The new address may be down, or come up late, while the old one ends: so the old one is followed until the
// new one sends its first line, and from then on the new one alone. Moved twice in a row, the one that sends
// is kept.
void Discovery::move_to(const std::string& address) {
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
    // A list that cannot be read must not be followed in part: the one before holds.
    return watch.end(error.what());
  }
  if (!is_current(list)) return watch.end("endpoint list older than the current one");
  version_ = list.version;
  on_list_(list, last_line_at());
}

// Each line, the heartbeat too, tells that nothing else has changed until then.
Micros Discovery::last_line_at() const {
  Micros latest = last_line_of_ended_watches_;
  for (const auto* watch : {watch_.get(), previous_watch_.get()}) {
    if (watch) latest = std::max(latest, watch->last_line_at());
  }
  return latest;
}

// A discovery server that lags names backends that have gone and leaves out those that came since. A lower
// version is taken only once the current address has sent nothing else for a while: then it counts its
// versions anew.
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
