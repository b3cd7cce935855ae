// Follows the list of backends at discovery by a watch, and moves over when discovery does.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "net/event_loop.hpp"
#include "protocol/endpoint_list.hpp"

namespace cherryrail::proxy {

class Discovery {
 public:
  using Failed = std::function<void(Micros most)>;
  // Starts from the version known. `heard` gets each list; `failed` is told once for each watch that breaks
  // or cannot be had at the address that holds, and how soon it must be asked for again. `first_within` is
  // how long a call is given to bring its first line, twice as long after each that brought none.
  Discovery(net::EventLoop& event_loop, std::string address, std::int64_t version, Micros first_within,
            std::function<void(const protocol::EndpointList&)> heard, Failed failed);
  ~Discovery();
  // Watches for what has changed, unless a watch stands.
  void follow();
  // From now on the list is to be had there.
  void move_to(const std::string& address);

 private:
  class DiscoveryWatch;

  void first_line(const DiscoveryWatch& feed);
  void list_line(DiscoveryWatch& feed, const std::string& line);
  bool holds(const protocol::EndpointList& list);
  void over(const DiscoveryWatch& feed, const std::string& why, Micros most);

  net::EventLoop& event_loop_;
  std::string where_;
  std::int64_t version_;
  std::function<void(const protocol::EndpointList&)> heard_;
  Failed failed_;
  Micros first_within_;
  std::shared_ptr<DiscoveryWatch> feed_;    // at the address that holds
  std::shared_ptr<DiscoveryWatch> former_;  // at the one before: followed until the new one's first line
  std::optional<Micros> lower_since_;       // the address that holds has told a lower version since then
};

}  // namespace cherryrail::proxy
