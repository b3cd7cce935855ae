// Tracks the use of the descriptor limit that this process shares with its peers.
#pragma once

#include <cstddef>

#include "net/event_loop.hpp"

namespace cherryrail::proxy {

class DescriptorBudget {
 public:
  // `limit`: how many descriptors this process and its peers may hold together.
  DescriptorBudget(const net::EventLoop& event_loop, std::size_t limit);

  void set_limit(std::size_t limit) { limit_ = limit; }
  // Withholds `count` more descriptors from clients.
  void reserve(std::size_t count) { requested_reserve_ += count; }
  // Descriptors held by other processes of the same relay during a hot restart.
  void set_held_by_peers(std::size_t count) { held_by_peers_ = count; }

  // Whether no client may be accepted, because only the reserve is left.
  bool is_exhausted() const;
  // Whether a health check may start, or a session from a predecessor may be received. Each needs one
  // descriptor, for which half of the reserve is available.
  bool allows_use_of_reserve() const;

 private:
  std::size_t in_use() const;
  std::size_t reserved() const;

  const net::EventLoop& event_loop_;
  std::size_t limit_;
  std::size_t requested_reserve_;
  std::size_t held_by_peers_ = 0;
};

}  // namespace cherryrail::proxy
