#include "balancer/load_shedding.hpp"

#include <algorithm>

namespace cherryrail {

void LoadShedder::record_load_report(Backend& backend, const LoadReport& report) {
  if (!report.reported_utilization) return;
  const double utilization = *report.reported_utilization;
  backend.reported_utilization = utilization;
  const double share = std::max(kDeepReduction, kFullUtilization / utilization);
  // One that is nearly full serves all in time; its sessions, migrated, would overload the next.
  if (utilization <= kFullUtilization)
    capacity_.record_spare_capacity(backend, utilization);
  else if (utilization > kOverloadUtilization)
    handle_overload(backend, share);
  else
    capacity_.reduce(backend, share);
}

void LoadShedder::record_message_latency(Backend& backend, Micros latency) {
  const Micros shortest = parameters_.shortest_message_objective;
  const bool is_deep = latency > 2 * parameters_.longest_message_objective;
  // At half of the objective the mean is in time, yet a part is late, and more with each session that comes.
  if (latency > shortest)
    handle_overload(backend, is_deep ? kDeepReduction : kSlightReduction);
  else if (2 * latency > shortest)
    capacity_.reduce(backend, 1);
}

void LoadShedder::handle_overload(Backend& backend, double share) {
  capacity_.reduce(backend, share);
  const FleetLoad fleet_load = meter_.measure();
  if (fleet_load.is_most_overloaded) capacity_.infer_from_others(fleet_load);
  shed_excess_load(backend);
}

void LoadShedder::shed_excess_load(Backend& backend) {
  double kept = backend.sessions.load();
  for (const Session* session : backend.sessions) {
    if (session->is_established || session->is_migration_queued) kept -= session->load;
  }
  for (const Candidate& candidate : migration_candidates(backend)) {
    Session& session = *candidate.session;
    const bool stays = candidate.is_foreign ? kept + session.load <= capacity_.current(backend)
                                            : capacity_.fits(kept, session.load, session, backend);
    if (stays)
      kept += session.load;
    else
      migration_.enqueue(session);
  }
  migration_.run();
}

std::vector<LoadShedder::Candidate> LoadShedder::migration_candidates(Backend& backend) const {
  std::vector<Candidate> candidates;
  for (Session* session : backend.sessions) {
    if (!session->is_established || session->is_migration_queued) continue;
    const Backend* preferred = session->preferred_backend;
    if (preferred == nullptr || preferred->state != EndpointState::ready) placement_.rank(*session);
    preferred = session->preferred_backend;
    const unsigned group_size = backend.sessions.group_size(session->hash_key);
    const bool is_foreign = preferred != nullptr && preferred != &backend && group_size == 1 &&
                            capacity_.fits(preferred->sessions.load(), session->load, *session, *preferred);
    const double order = agreed_order(*session, backend) - group_size;
    candidates.push_back({session, is_foreign, {fleet_.is_over_share(*session), is_foreign, order}});
  }
  std::ranges::stable_sort(candidates, {}, &Candidate::stays_by);
  return candidates;
}

}  // namespace cherryrail
