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

// The new address may be down or slow to start, and discovery may take seconds to answer. So the watches at
// earlier addresses are followed until a later one receives its first line: if each change ended the request
// under way, the relay would learn nothing while changes come in quick succession.
void Discovery::set_address(const std::string& address) {
  if (address == address_) return;
  address_ = address;
  lower_version_since_.reset();
  retire_watch();
  event_loop_.log().write(net::Topic::discovery, "discovery address is now {}; {} earlier requests are kept",
                          address_, earlier_watches_.size());
  ensure_watching();
}

// With too many watches, the latest one ends: the others are nearer to their first line.
void Discovery::retire_watch() {
  if (watch_ && earlier_watches_.size() < kMaxEarlierWatches) earlier_watches_.push_back(std::move(watch_));
  watch_.reset();
}

void Discovery::on_first_line(const DiscoveryWatch& watch) {
  const auto is_same = [&watch](const auto& earlier) { return earlier.get() == &watch; };
  const auto first_kept = std::ranges::find_if(earlier_watches_, is_same);
  earlier_watches_.erase(earlier_watches_.begin(), first_kept);
}

void Discovery::on_list_line(DiscoveryWatch& watch, const std::string& line) {
  protocol::EndpointList list;
  try {
    list = protocol::parse_endpoint_list(line);
  } catch (const protocol::ProtocolError& error) {
    // A malformed list must not be applied in part: the previous list stays in force.
    return watch.end(error.what());
  }
  const bool is_newest = &watch == watch_.get() ? is_current(list) : list.version >= version_;
  if (!is_newest) return watch.end("endpoint list older than the current one");
  version_ = list.version;
  on_list_(list, last_line_at());
}

// Each line, also a heartbeat, confirms that nothing else has changed up to its arrival.
Micros Discovery::last_line_at() const {
  Micros latest = last_line_of_ended_watches_;
  if (watch_) latest = std::max(latest, watch_->last_line_at());
  for (const auto& watch : earlier_watches_) latest = std::max(latest, watch->last_line_at());
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
  std::erase_if(earlier_watches_, [&watch](const auto& earlier) { return earlier.get() == &watch; });
  if (&watch != watch_.get()) return;
  watch_.reset();
  on_failed_(retry_within);
}

}  // namespace cherryrail::proxy
