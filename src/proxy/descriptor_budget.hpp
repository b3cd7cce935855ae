// What this process may still open, of the descriptors that it and its peers share.
#pragma once

#include <cstddef>

#include "net/event_loop.hpp"

namespace cherryrail::proxy {

class DescriptorBudget {
 public:
  // `limit`: how many descriptors this process and its peers may hold together.
  DescriptorBudget(const net::EventLoop& event_loop, std::size_t limit);

  void set_limit(std::size_t limit) { limit_ = limit; }
  // Keeps so many more back from clients.
  void reserve(std::size_t count) { wanted_reserve_ += count; }
  // Held by processes of the same relay, while one replaces the other.
  void set_held_by_peers(std::size_t count) { held_by_peers_ = count; }

  // No client may be accepted: what is left is kept back.
  bool is_exhausted() const;
  // A health check may be made, or a session of a predecessor taken over: each needs one descriptor of the
  // half of the reserve that is there for it.
  bool allows_use_of_reserve() const;

 private:
  std::size_t in_use() const;
  std::size_t reserved() const;

  const net::EventLoop& event_loop_;
  std::size_t limit_;
  std::size_t wanted_reserve_;
  std::size_t held_by_peers_ = 0;
};

}  // namespace cherryrail::proxy
