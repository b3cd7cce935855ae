#include "balancer/latency_outliers.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <string>

namespace cherryrail {

// Message latencies that the backends of one zone reported.
struct LatencyOutlierDetector::ZoneReports {
  Micros lowest_slow_latency = std::numeric_limits<Micros>::max();
  double known = 0;  // ready backends that hold sessions of this relay or are outliers
  double slow = 0;   // among these, outliers and those with a similar high latency

  bool is_similar(const Backend& backend) const {
    const double bound = (1 + 2 * kSimilarityTolerance) * static_cast<double>(lowest_slow_latency);
    return static_cast<double>(backend.latency.reported_latency_) < bound;
  }
};

void LatencyOutlierDetector::record_message_latency(Backend& backend, Micros latency) {
  LatencyStatus& status = backend.latency;
  const Micros now = actions_.now();
  const Micros since_last = now - status.reported_at_;
  if (since_last <= kMinReportInterval) return;
  const bool is_slow = latency > parameters_.shortest_message_objective;
  const auto change = std::abs(static_cast<double>(latency - status.reported_latency_));
  const bool is_similar =
      is_slow && since_last < kReportLifetime && change < kSimilarityTolerance * static_cast<double>(latency);
  status.record(latency, is_similar, now);
  if (status.consecutive_similar_reports_ >= kSimilarReportsForOutlier) {
    // If all backends are slow, none is an outlier.
    const auto meets_objective_at = [this](const auto& peer) { return meets_objective(*peer); };
    if (std::ranges::any_of(fleet_.backends(), meets_objective_at)) {
      penalize_backend(backend);
      migration_.run();
    }
  }
  if (is_slow && backend.zone != parameters_.zone) evaluate_path(backend.zone);
}

bool LatencyOutlierDetector::was_slow(const Backend& backend) const {
  return backend.latency.reported_latency_ > parameters_.shortest_message_objective &&
         actions_.now() - backend.latency.reported_at_ < kReportLifetime;
}

void LatencyOutlierDetector::penalize_backend(Backend& backend) {
  const Micros now = actions_.now();
  if (!backend.latency.penalty_.is_active(now)) {
    actions_.log("backend " + std::to_string(backend.name) + " is a latency outlier");
    capacity_.retract_overload_of(backend);
  }
  backend.latency.penalty_.impose(backend.latency.reported_latency_, now);
  for (Session* session : backend.sessions) {
    if (session->is_established && penalties_.is_too_slow_for(*session, backend))
      migration_.enqueue(*session);
  }
}

void LatencyOutlierDetector::evaluate_path(unsigned zone) {
  const Micros now = actions_.now();
  const ZoneReports reports = reports_of(zone);
  LatencyPenalty& path = penalties_.path_to(zone);
  const double min_slow_backends = path.ended_recently(now) ? 1 : kMinSlowBackends;
  const auto is_local_meeting_objective = [this](const auto& backend) {
    return backend->zone == parameters_.zone && meets_objective(*backend);
  };
  if (std::ranges::none_of(fleet_.backends(), is_local_meeting_objective)) return;
  if (reports.slow < min_slow_backends || reports.slow < kMinSlowShare * reports.known) return;
  path.impose(reports.lowest_slow_latency, now);
  for (const auto& backend : fleet_.backends()) {
    const bool is_outlier = backend->latency.penalty_.is_active(now);
    if (backend->zone == zone && !is_outlier && was_slow(*backend) && reports.is_similar(*backend))
      penalize_backend(*backend);
  }
  migration_.run();
}

LatencyOutlierDetector::ZoneReports LatencyOutlierDetector::reports_of(unsigned zone) const {
  const Micros now = actions_.now();
  ZoneReports reports;
  for (const auto& backend : fleet_.backends()) {
    if (backend->zone != zone) continue;
    const LatencyStatus& status = backend->latency;
    if (status.penalty_.is_active(now))
      reports.lowest_slow_latency = std::min(reports.lowest_slow_latency, status.penalty_.latency(now));
    else if (was_slow(*backend))
      reports.lowest_slow_latency = std::min(reports.lowest_slow_latency, status.reported_latency_);
  }
  for (const auto& backend : fleet_.backends()) {
    if (backend->zone != zone || backend->state != EndpointState::ready) continue;
    const bool is_outlier = backend->latency.penalty_.is_active(now);
    if (is_outlier || !backend->sessions.empty()) ++reports.known;
    if (is_outlier || (was_slow(*backend) && reports.is_similar(*backend))) ++reports.slow;
  }
  return reports;
}

bool LatencyOutlierDetector::meets_objective(const Backend& backend) const {
  return backend.state == EndpointState::ready && !backend.sessions.empty() && !was_slow(backend);
}

bool LatencyPenalties::is_too_slow_for(const Session& session, const Backend& backend) const {
  const auto objective = static_cast<double>(session.traffic_class->message_latency_objective);
  return static_cast<double>(latency(backend)) > kMaxObjectiveShare * objective;
}

}  // namespace cherryrail
