#include "proxy/descriptor_budget.hpp"

#include <algorithm>

namespace cherryrail::proxy {
namespace {

// For discovery, health checks, operators, the attempts of clients whose request has been read, and the event
// loop itself.
constexpr std::size_t kDefaultReserve = 24;

// The reserve is at most five eighths of the limit: the full default reserve would exceed the smallest limit
// that the configuration allows and leave no descriptor for clients.
std::size_t max_reserve(std::size_t limit) { return 5 * limit / 8; }

}  // namespace

DescriptorBudget::DescriptorBudget(const net::EventLoop& event_loop, std::size_t limit)
    : event_loop_(event_loop), limit_(limit), requested_reserve_(kDefaultReserve) {}

// Computed at each call, since the limit may change while the relay runs.
std::size_t DescriptorBudget::reserved() const { return std::min(requested_reserve_, max_reserve(limit_)); }

std::size_t DescriptorBudget::in_use() const { return event_loop_.watch_count() + held_by_peers_; }

bool DescriptorBudget::is_exhausted() const { return in_use() + reserved() > limit_; }

bool DescriptorBudget::allows_use_of_reserve() const { return in_use() + reserved() / 2 <= limit_; }

}  // namespace cherryrail::proxy
