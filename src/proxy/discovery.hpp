// Follows the endpoint list of the discovery server, also when the server's address changes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "net/event_loop.hpp"
#include "protocol/endpoint_list.hpp"
#include "proxy/discovery_watch.hpp"
#include "proxy/endpoint_snapshot.hpp"

namespace cherryrail::proxy {

// Owns the latest watch and, until a later one receives its first line, those before: at earlier addresses,
// or still without an answer. Decides which watches are followed and which lists are newer than the known
// version. Starts a new watch only when ensure_watching() or set_address() is called.
class Discovery final : private DiscoveryWatchOwner {
 public:
  // `current_until`: until when the list before this one is known to have been current; 0 if never.
  using OnList = std::function<void(const protocol::EndpointList&, Micros current_until)>;
  using OnFailed = std::function<void(Micros retry_within)>;

  // `version` is the version of the list that is known already. `on_list` is called with each list that is
  // not older than the one before; `on_failed` is called once for each watch that ends, cannot be started or
  // remains without an answer, if it is the latest. `first_line_timeout` is the time from connecting to the
  // first line of a watch after which the next one is requested beside it.
  Discovery(net::EventLoop& event_loop, std::string address, std::int64_t version, Micros first_line_timeout,
            OnList on_list, OnFailed on_failed);
  ~Discovery();
  Discovery(const Discovery&) = delete;
  Discovery& operator=(const Discovery&) = delete;

  // Starts a watch at the current address, unless there is one.
  void ensure_watching();
  // Whether a snapshot from another process of this relay is to be applied, because it is not older than the
  // list that this process has. If so, only lists that are not older than the snapshot are followed from now
  // on.
  bool adopt(const EndpointSnapshot& snapshot);
  // The version of the list that is known.
  [[nodiscard]] std::int64_t version() const { return version_; }
  // The highest version of any list received.
  [[nodiscard]] std::int64_t highest_version() const { return highest_version_; }
  // Follows the list of the discovery server at `address` from now on.
  void set_address(const std::string& address);

 private:
  // Earlier watches are kept up to this number, however fast the address changes.
  static constexpr std::size_t kMaxEarlierWatches = 8;

  void on_first_line(const DiscoveryWatch& watch) override;
  void on_list_line(DiscoveryWatch& watch, const std::string& line) override;
  void on_first_line_overdue(const DiscoveryWatch& watch) override;
  void on_watch_ended(const DiscoveryWatch& watch, const std::string& reason, Micros retry_within) override;
  Micros list_current_until() const;
  Micros max_retry_delay() const;
  void retire_watch();
  bool is_current(const protocol::EndpointList& list);

  net::EventLoop& event_loop_;
  std::string address_;
  std::int64_t version_;
  std::int64_t highest_version_;
  bool has_received_list_ = false;  // from discovery
  OnList on_list_;
  OnFailed on_failed_;
  Micros first_line_timeout_;
  std::shared_ptr<DiscoveryWatch> watch_;  // the latest, at the current address
  // Oldest first. Each is kept until a later watch receives its first line.
  std::vector<std::shared_ptr<DiscoveryWatch>> earlier_watches_;
  bool has_fallen_silent_ = false;             // a watch since the latest first line
  unsigned failures_ = 0;                      // of watches since the latest first line
  unsigned unanswered_requests_ = 0;           // since the latest first line
  Micros ended_watches_current_until_ = 0;     // 0: none has received a line
  std::optional<Micros> lower_version_since_;  // since when the current address sends a lower version
};

}  // namespace cherryrail::proxy
