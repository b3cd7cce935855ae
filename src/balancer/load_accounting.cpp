// Which sessions a backend holds, and the sums of their loads.
#include <utility>

#include "balancer/balancer.hpp"

namespace cherryrail {

void Balancer::hold(Session& session, Backend& backend) {
  session.backend = backend.shared_from_this();
  session.load = expected_load(session);
  session.place = backend.sessions.size();
  backend.sessions.push_back(&session);
  ++backend.groups[session.hash_key];
  if (session.tenant < tenant_held_.size()) ++tenant_held_[session.tenant];
  backend.load += session.load;
  backend.landed.add(actions_.now(), session.load);
  held_load_ += session.load, ++held_;
}

void Balancer::let_go(Session& session) {
  Backend& backend = *session.backend;
  backend.sessions[session.place] = backend.sessions.back();
  backend.sessions[session.place]->place = session.place;
  backend.sessions.pop_back();
  if (session.tenant < tenant_held_.size()) --tenant_held_[session.tenant];
  if (--backend.groups[session.hash_key] == 0) backend.groups.erase(session.hash_key);
  backend.load = backend.sessions.empty() ? 0 : backend.load - session.load;
  held_load_ = --held_ > 0 ? held_load_ - session.load : 0;
  if (session.open) --open_;
  if (session.is_migration_queued) --queued_;
  session.open = session.is_migration_queued = false;
  const auto keep = std::move(session.backend);
  if (keep->state == EndpointState::gone && keep->sessions.empty()) std::erase(backends_, keep);
}

}  // namespace cherryrail
