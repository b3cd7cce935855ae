// What a balancer has learned, handed to the one in the process that takes its place.
#include <algorithm>
#include <limits>

#include "balancer/balancer.hpp"

namespace cherryrail {

// Danger: two processes with one relay's turn would send a cold backend twice what it was dealt.
StateSnapshot Balancer::export_state() {
  StateSnapshot memory{
      born_, turns_from_, strained_until_, new_clients_, purse_, further_.sum(actions_.now()), {}};
  for (const auto& backend : backends_)
    memory.backends.push_back(
        {backend->name, backend->started_at, backend->reported_started_at, backend->capacity_reduced_at,
         backend->failure_log_odds, backend->capacity_limit, backend->full, backend->is_ejected,
         backend->is_unresponsive, backend->is_capacity_inferred, backend->cold_turn, backend->cold_sent});
  turns_from_ = std::numeric_limits<Micros>::max();
  budget_free_ = budget_share_ = 0, may_probe_ = false;
  return memory;
}

// Danger: a relay that forgets at each replacement is always young, and takes for warm what it knew was cold.
void Balancer::import_state(const StateSnapshot& memory) {
  born_ = std::min(born_, memory.born);
  turns_from_ = std::min(turns_from_, memory.turns_from);
  strained_until_ = std::max(strained_until_, memory.strained_until);
  new_clients_ += memory.new_clients;
  purse_ = std::clamp(memory.purse, 0.0, kPurse);
  further_.add(actions_.now(), memory.further);
  for (const StateSnapshot::Of& of : memory.backends) {
    const auto known = std::find_if(backends_.begin(), backends_.end(),
                                    [&of](const auto& backend) { return backend->name == of.name; });
    if (known == backends_.end()) continue;
    Backend& backend = **known;
    backend.cold_turn = of.cold_turn, backend.cold_sent = of.cold_sent;
    if (backend.reported_started_at != of.reported_started_at)
      continue;  // restarted since: nothing of it holds
    backend.started_at = std::max(backend.started_at, of.started_at);
    backend.failure_log_odds = of.failure_log_odds, backend.capacity_limit = of.capacity_limit,
    backend.full = of.full, backend.capacity_reduced_at = of.capacity_reduced_at;
    backend.is_capacity_inferred = of.is_capacity_inferred;
    if (of.is_ejected && !backend.is_ejected) eject(backend), backend.is_unresponsive = of.is_unresponsive;
  }
}

}  // namespace cherryrail
