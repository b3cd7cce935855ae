#include "proxy/discovery.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include "balancer/endpoint_list_refresh.hpp"

namespace cherryrail::proxy {
namespace {

// A discovery server that sends a lower version for this long has restarted its version counter. Shorter than
// the heartbeat interval.
constexpr Micros kVersionRestartDelay = 1'500'000;
constexpr std::int64_t kNoVersion = 0;  // requests the complete list
// An unanswered request has waited long enough: the next one beside it need not wait.
constexpr Micros kOverdueRetryDelay = kSecond / 5;

}  // namespace

Discovery::Discovery(net::EventLoop& event_loop, std::string address, std::int64_t version,
                     Micros first_line_timeout, OnList on_list, OnFailed on_failed)
    : event_loop_(event_loop), address_(std::move(address)), version_(version), highest_version_(version),
      on_list_(std::move(on_list)), on_failed_(std::move(on_failed)),
      first_line_timeout_(first_line_timeout) {}

Discovery::~Discovery() = default;

void Discovery::ensure_watching() {
  if (watch_) return;
  // After a restart of the server's version counter, a request for changes after the known version would
  // yield nothing, so the complete list is requested.
  const std::int64_t version = lower_version_since_ ? kNoVersion : version_;
  const Micros timeout = EndpointListRefresh::answer_timeout(first_line_timeout_, unanswered_requests_);
  DiscoveryWatchOwner& owner = *this;
  watch_ = std::make_shared<DiscoveryWatch>(event_loop_, owner, address_, version, timeout);
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

// What discovery has told this process itself is older only if the other process has a higher version. Until
// then, this process has a list that a process before it was told, or that its configuration holds.
bool Discovery::adopt(const EndpointSnapshot& snapshot) {
  if (snapshot.list.version <= 0) return false;  // the other process has not received any list
  const bool is_newer = has_received_list_ ? snapshot.list.version > highest_version_
                                           : snapshot.highest_version >= highest_version_;
  if (!is_newer) return false;
  version_ = snapshot.list.version;
  highest_version_ = snapshot.highest_version;
  lower_version_since_.reset();
  return true;
}

// With too many watches, the older half stays, because these are nearest to their answers. So do the latest,
// because a server that was unreachable may have lost all earlier requests.
void Discovery::retire_watch() {
  if (!watch_) return;
  if (earlier_watches_.size() >= kMaxEarlierWatches)
    earlier_watches_.erase(std::next(earlier_watches_.begin(), kMaxEarlierWatches / 2));
  earlier_watches_.push_back(std::move(watch_));
}

// Ends the watches before this one. At the current address, also those after it: they would only bring the
// same list later.
void Discovery::on_first_line(const DiscoveryWatch& watch) {
  unanswered_requests_ = 0;
  failures_ = 0;
  has_fallen_silent_ = false;
  const auto is_same = [&watch](const auto& earlier) { return earlier.get() == &watch; };
  const auto found = std::ranges::find_if(earlier_watches_, is_same);
  if (found == earlier_watches_.end() || watch.address() != address_) {
    earlier_watches_.erase(earlier_watches_.begin(), found);
    return;
  }
  watch_ = *found;
  earlier_watches_.clear();
}

// The request may be lost, or discovery may be slow. So it is made again, and the first answer counts.
void Discovery::on_first_line_overdue(const DiscoveryWatch& watch) {
  if (&watch != watch_.get()) return;
  ++unanswered_requests_;
  retire_watch();
  event_loop_.log().write(net::Topic::discovery, "no answer from discovery yet; {} requests stay open",
                          earlier_watches_.size());
  on_failed_(kOverdueRetryDelay);
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
  highest_version_ = std::max(highest_version_, version_);
  has_received_list_ = true;
  on_list_(list, list_current_until());
}

// Each line, also a heartbeat, confirms that nothing else has changed up to its arrival.
Micros Discovery::list_current_until() const {
  Micros latest = ended_watches_current_until_;
  if (watch_) latest = std::max(latest, watch_->current_until());
  for (const auto& watch : earlier_watches_) latest = std::max(latest, watch->current_until());
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

// Only after a silence may changes have been missed for seconds already. Watches that are reset are often
// those of all relays at once, and calls that hurry would keep discovery too busy to answer any.
Micros Discovery::max_retry_delay() const {
  if (!has_fallen_silent_) return DiscoveryWatch::kNoRetryLimit;
  return EndpointListRefresh::max_retry_delay(event_loop_.now() - list_current_until(), failures_);
}

void Discovery::on_watch_ended(const DiscoveryWatch& watch, const std::string& reason, Micros retry_within) {
  event_loop_.log().write(net::Topic::discovery, "watch ended: {}", reason);
  ended_watches_current_until_ = std::max(ended_watches_current_until_, watch.current_until());
  std::erase_if(earlier_watches_, [&watch](const auto& earlier) { return earlier.get() == &watch; });
  if (&watch != watch_.get()) return;
  watch_.reset();
  ++failures_;
  has_fallen_silent_ = has_fallen_silent_ || watch.has_fallen_silent();
  on_failed_(std::min(retry_within, max_retry_delay()));
}

}  // namespace cherryrail::proxy
