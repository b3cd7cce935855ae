#include "balancer/load_shedding.hpp"

#include <algorithm>

namespace cherryrail {

void LoadShedder::record_load_report(Backend& backend, const LoadReport& report) {
  if (!report.reported_utilization) return;
  const double utilization = *report.reported_utilization;
  backend.reported_utilization = utilization;
  const double share = std::max(kDeepReductionFactor, kFullUtilization / utilization);
  // A nearly full backend still meets its objectives, so it gets no more sessions but sheds none: migrated
  // sessions would overload the next backend.
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
  // With the mean latency at half of the objective, some messages already exceed it, and more will with each
  // new session.
  if (latency > shortest)
    handle_overload(backend, is_deep ? kDeepReductionFactor : kSlightReductionFactor);
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
    const bool stays = candidate.fits_at_preferred ? kept + session.load <= capacity_.current(backend)
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
    const bool fits_at_preferred =
        preferred != nullptr && preferred != &backend && group_size == 1 &&
        capacity_.fits(preferred->sessions.load(), session->load, *session, *preferred);
    const double order = capacity_order(*session, backend) - group_size;
    candidates.push_back(
        {session, fits_at_preferred, {fleet_.is_tenant_over_share(*session), fits_at_preferred, order}});
  }
  std::ranges::stable_sort(candidates, {}, &Candidate::retention_order);
  return candidates;
}

}  // namespace cherryrail
