#include "balancer/placement.hpp"

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

#include "balancer/hash.hpp"

namespace cherryrail {
Backend* Placement::choose(Session& session) {
  fleet_load_ = meter_.measure();
  session.passed_over_warming_up = 0;
  session.passed_over_at_capacity = 0;
  // During overload, sessions of tenants over their share are rejected first.
  if (is_stopped_ || (fleet_load_.is_any_overloaded && fleet_.is_tenant_over_share(session))) return nullptr;
  rank(session);
  const double load = fleet_.expected_load(session);
  std::array<Candidate, tier_count> best{};
  for (const auto& backend : fleet_.backends()) {
    if (backend->state != EndpointState::ready) continue;
    const Candidate& leader = best[within_cap];
    if (leader.backend != nullptr && backend->score.rank_lower_bound() >= leader.rank) continue;
    const std::optional<Tier> tier = tier_of(session, *backend, load);
    if (!tier) continue;
    const double rank = backend->score.rank();
    Candidate& candidate = best[*tier];
    if (candidate.backend == nullptr || rank < candidate.rank) candidate = {backend.get(), rank};
  }
  const auto found =
      std::ranges::find_if(best, [](const Candidate& candidate) { return candidate.backend != nullptr; });
  return found == best.end() ? nullptr : found->backend;
}

std::optional<Placement::Tier> Placement::tier_of(Session& session, const Backend& backend,
                                                  double load) const {
  if (!retry_policy_.is_safe(session, backend)) return {};
  if (!slow_start_.may_admit(session, backend, fleet_load_)) {
    ++session.passed_over_warming_up;
    return {};
  }
  if (session.has_tried(backend)) return {};
  const double held = backend.sessions.load() + load * new_group_cost(session, backend);
  const bool fits = session.is_mid_flow || capacity_.fits(held, load, session, backend);
  const bool has_relaxed_cap = backend.zone == parameters_.zone && fleet_load_.local_zone_weight > 1 &&
                               backend.reported_utilization < kLowUtilization;
  const bool is_over =
      !session.is_mid_flow && is_over_cap(backend, has_relaxed_cap ? kRelaxedCapFactor : kCapFactor);
  // During overload no backend over the relaxed cap gets sessions, except those in mid-flow. Without this
  // limit, all load shed by overloaded backends would go to one that is not overloaded yet, and overload it
  // in turn. With it, previously overloaded backends under their cap get a share of that load.
  if (is_over && fleet_load_.is_any_overloaded && is_over_cap(backend, kRelaxedCapFactor)) return {};
  if (!fits && (is_over || is_capacity_strict() || capacity_.was_reduced_recently(backend))) {
    ++session.passed_over_at_capacity;
    return {};
  }
  if (penalties_.is_too_slow_for(session, backend)) return {};
  if (backend.outlier.is_avoided(actions_.now())) return ejected;
  return is_over || !fits ? over_cap : within_cap;
}

double Placement::new_group_cost(const Session& session, const Backend& backend) const {
  if (backend.sessions.has_group(session.hash_key)) return 0;
  // Other relays may already have sessions of the group on the preferred backend.
  if (session.preferred_backend == &backend) return std::min(kNewGroupCost, fleet_load_.sessions_per_backend);
  return kNewGroupCost;
}

bool Placement::is_over_cap(const Backend& backend, double factor) const {
  const double cap =
      factor * fleet_load_.load_per_capacity * backend.relative_capacity * slow_start_.factor(backend);
  return backend.sessions.load() >= std::max(cap, kMinCapSessions * fleet_.mean_session_load());
}

bool Placement::is_capacity_strict() const {
  return fleet_load_.is_most_overloaded || fleet_load_.sessions_per_backend < kMinCapSessions ||
         fleet_load_.ready_count < kMinBackendsForOverflow;
}

void Placement::rank(Session& session) const {
  session.preferred_backend = nullptr;
  double best_rank = 0;
  for (const auto& backend : fleet_.backends()) {
    if (backend->state != EndpointState::ready) continue;
    const double relative_capacity = backend->relative_capacity > 0
                                         ? backend->relative_capacity
                                         : fleet_load_.mean_relative_capacity * kZeroCapacityWeight;
    const double zone_weight = backend->zone == parameters_.zone ? fleet_load_.local_zone_weight : 1;
    RendezvousScore& score = backend->score;
    score.draw = uniform_draw(session.hash_key, backend->name_hash);
    score.weight = relative_capacity * slow_start_.factor(*backend) * zone_weight;
    const bool is_first = session.preferred_backend == nullptr;
    if (!is_first && score.rank_lower_bound() >= best_rank) continue;
    const double rank = score.rank();
    if (!is_first && rank >= best_rank) continue;
    session.preferred_backend = backend.get();
    best_rank = rank;
  }
  const Backend* preferred = session.preferred_backend;
  const bool is_group_member = session.is_reconnecting && session.group_key != 0;
  if (preferred != nullptr && is_group_member && slow_start_.factor(*preferred) < 1) spread_group(session);
}

void Placement::spread_group(Session& session) const {
  const double share_per_backend =
      std::min(1.0, slow_start_.planned_load_factor() * slow_start_.factor(*session.preferred_backend));
  const double draw = uniform_draw(mix_hash(session.client_key), ~session.hash_key);
  const auto position = static_cast<std::size_t>(draw / share_per_backend);
  if (position == 0) return;
  std::vector<std::pair<double, Backend*>> warming_up;
  for (const auto& backend : fleet_.backends()) {
    if (backend->state == EndpointState::ready && slow_start_.factor(*backend) < 1)
      warming_up.emplace_back(backend->score.rank(), backend.get());
  }
  session.preferred_backend = nullptr;
  if (position >= warming_up.size()) return;
  std::ranges::sort(warming_up, {}, &std::pair<double, Backend*>::first);
  // Swaps the two backends in the session's rank order.
  std::swap(warming_up.front().second->score, warming_up[position].second->score);
  session.preferred_backend = warming_up[position].second;
}

}  // namespace cherryrail
