// Follows the endpoint list at discovery, and moves to another address when discovery does.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "net/event_loop.hpp"
#include "protocol/endpoint_list.hpp"
#include "proxy/discovery_watch.hpp"

namespace cherryrail::proxy {

// Holds the watch at the current address and, for a while after a move, the one at the address before.
// Decides which of them counts and which lists are newer than what is known. Asks again only when it is told
// to.
class Discovery final : private DiscoveryWatchOwner {
 public:
  // `current_until`: when the list was last known to be current before this one; 0: never.
  using OnList = std::function<void(const protocol::EndpointList&, Micros current_until)>;
  using OnFailed = std::function<void(Micros retry_within)>;

  // Starts from the version that is known. `on_list` gets each list that is not older than the one before;
  // `on_failed` is called once for each watch that ends or cannot be had at the current address.
  // `first_line_timeout` is how long a watch may take to its first line once it is connected.
  Discovery(net::EventLoop& event_loop, std::string address, std::int64_t version, Micros first_line_timeout,
            OnList on_list, OnFailed on_failed);
  ~Discovery();
  Discovery(const Discovery&) = delete;
  Discovery& operator=(const Discovery&) = delete;

  // Starts a watch at the current address, unless there is one.
  void ensure_watching();
  // From now on the list is to be had at `address`.
  void move_to(const std::string& address);

 private:
  void on_first_line(const DiscoveryWatch& watch) override;
  void on_list_line(DiscoveryWatch& watch, const std::string& line) override;
  void on_watch_ended(const DiscoveryWatch& watch, const std::string& reason, Micros retry_within) override;
  Micros last_line_at() const;
  bool is_current(const protocol::EndpointList& list);

  net::EventLoop& event_loop_;
  std::string address_;
  std::int64_t version_;
  OnList on_list_;
  OnFailed on_failed_;
  Micros first_line_timeout_;
  std::shared_ptr<DiscoveryWatch> watch_;  // at the current address
  std::shared_ptr<DiscoveryWatch>
      previous_watch_;                         // at the address before, until the current one's first line
  Micros last_line_of_ended_watches_ = 0;      // 0: none has had a line
  std::optional<Micros> lower_version_since_;  // the current address has sent a lower version since then
};

}  // namespace cherryrail::proxy
