#include "balancer/fleet.hpp"

#include <algorithm>
#include <limits>
#include <utility>

#include "balancer/hash.hpp"

namespace cherryrail {
namespace {

constexpr unsigned kMaxReportsInMean = 64;
// Keeps backends with small numbers as names from hashing to draws near each other.
constexpr std::uint64_t kNameSalt = 0x9e3779b97f4a7c15ULL;

double lowest_priority_weight(const BalancerParameters& parameters) {
  double lowest = std::numeric_limits<double>::infinity();
  for (const TrafficClass& traffic_class : parameters.traffic_classes) {
    if (traffic_class.priority_weight > 0) lowest = std::min(lowest, traffic_class.priority_weight);
  }
  return lowest;
}

}  // namespace

std::uint64_t hash_key_of(const Session& session) {
  return session.group_key != 0 ? session.group_key : session.client_key;
}

// Until loads are reported, a class is assumed to load a backend in proportion to its priority, since
// sessions of high priority are rarely light.
LoadEstimates::LoadEstimates(const BalancerParameters& parameters) {
  const double lowest = lowest_priority_weight(parameters);
  for (const TrafficClass& traffic_class : parameters.traffic_classes) {
    classes_.push_back({std::max(1.0, traffic_class.priority_weight / lowest), 0});
  }
}

double LoadEstimates::expected(const Session& session) const {
  if (session.load_hint) return *session.load_hint;
  const Estimate& estimate = classes_[session.traffic_class->index];
  return estimate.load * (estimate.reports > 0 ? 1 : unit_);
}

bool LoadEstimates::learn(std::size_t class_index, double load) {
  const auto is_unreported = [](const Estimate& estimate) { return estimate.reports == 0; };
  const bool is_first = std::all_of(classes_.begin(), classes_.end(), is_unreported);
  Estimate& estimate = classes_[class_index];
  if (estimate.reports == 0) {
    unit_ = load / estimate.load;
    estimate.load = load;
  }
  ++estimate.reports;
  const double report_weight = 1.0 / std::min(kMaxReportsInMean, estimate.reports);
  estimate.load += report_weight * (load - estimate.load);
  return is_first;
}

Fleet::Fleet(const BalancerParameters& parameters) : estimates_(parameters) {
  for (const double share : parameters.tenant_shares) {
    tenants_.push_back({share / parameters.relay_count, 0});
  }
}

bool Fleet::contains(const Backend& backend) const {
  const auto is_same = [&backend](const auto& known) { return known.get() == &backend; };
  return std::any_of(backends_.begin(), backends_.end(), is_same);
}

// Compares for inequality: if the wall clock was set back, a restart may be reported with an earlier time.
bool Fleet::has_restarted(const Backend& backend, Micros reported_started_at) const {
  return reported_started_at > 0 && reported_started_at != backend.reported_started_at && contains(backend);
}

void Fleet::record_endpoint(const std::shared_ptr<Backend>& backend, EndpointState state,
                            double relative_capacity, const BackendStart& start, Micros now) {
  const bool is_known = contains(*backend);
  if (!is_known && state != EndpointState::gone) backends_.push_back(backend);
  backend->name_hash = mix_hash(backend->name + kNameSalt);
  backend->relative_capacity = relative_capacity > 0 ? relative_capacity : 0;
  backend->reported_state = state;
  if (!is_known && backend->disabled_by_operator) backend->disabled_at = now;
  if (is_known && start.reported == backend->reported_started_at) return;
  backend->slow_start.set_started_at(start.local);
  backend->reported_started_at = start.reported;
}

std::shared_ptr<Backend> Fleet::find(std::uint64_t name) const {
  const auto has_name = [name](const auto& known) { return known->name == name; };
  const auto found = std::find_if(backends_.begin(), backends_.end(), has_name);
  return found == backends_.end() ? nullptr : *found;
}

void Fleet::erase_if_gone(const std::shared_ptr<Backend>& backend) {
  if (backend->state == EndpointState::gone && backend->sessions.empty()) std::erase(backends_, backend);
}

void Fleet::attach(Session& session, Backend& backend, Micros now) {
  session.backend = backend.shared_from_this();
  session.load = expected_load(session);
  backend.sessions.insert(session, now);
  if (session.tenant < tenants_.size()) ++tenants_[session.tenant].held;
  total_load_ += session.load;
  ++session_count_;
}

void Fleet::detach(Session& session) {
  session.backend->sessions.erase(session);
  if (session.tenant < tenants_.size()) --tenants_[session.tenant].held;
  --session_count_;
  total_load_ = session_count_ > 0 ? total_load_ - session.load : 0;
  if (session.is_established) --established_count_;
  if (session.is_migration_queued) --migration_queued_count_;
  session.is_established = false;
  session.is_migration_queued = false;
  session.is_migrating = false;
  session.is_unresponsive = false;
  erase_if_gone(std::exchange(session.backend, nullptr));
}

void Fleet::mark_established(Session& session) {
  session.is_established = true;
  ++established_count_;
}

void Fleet::mark_migration_queued(Session& session) {
  session.is_migration_queued = true;
  ++migration_queued_count_;
}

double Fleet::mean_session_load() const {
  return session_count_ > 0 ? total_load_ / static_cast<double>(session_count_) : 1;
}

void Fleet::record_load(Session& session, double load) {
  if (estimates_.learn(session.traffic_class->index, load)) recount_loads();
  session.backend->sessions.load_ += load - session.load;
  total_load_ += load - session.load;
  session.load = load;
}

// Converts all loads from units of relative priority to units of reported work.
void Fleet::recount_loads() {
  total_load_ = 0;
  for (const auto& backend : backends_) {
    backend->sessions.load_ = 0;
    for (Session* session : backend->sessions) {
      session->load = expected_load(*session);
      backend->sessions.load_ += session->load;
    }
    total_load_ += backend->sessions.load_;
  }
}

bool Fleet::is_tenant_over_share(const Session& session) const {
  if (session.tenant >= tenants_.size()) return false;
  const Tenant& tenant = tenants_[session.tenant];
  return tenant.share > 0 && tenant.held > tenant.share;
}

}  // namespace cherryrail
