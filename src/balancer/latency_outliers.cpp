#include "balancer/latency_outliers.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <string>

namespace cherryrail {

// What the backends of one zone reported of their messages.
struct LatencyOutlierDetector::ZoneReports {
  Micros lowest_late = std::numeric_limits<Micros>::max();
  double known = 0;  // backends that hold sessions here or are outliers
  double late = 0;   // among these, late by a similar latency

  bool is_similar(const Backend& backend) const {
    const double bound = (1 + 2 * kSimilar) * static_cast<double>(lowest_late);
    return static_cast<double>(backend.latency.reported_latency_) < bound;
  }
};

void LatencyOutlierDetector::record_message_latency(Backend& backend, Micros latency) {
  LatencyStatus& status = backend.latency;
  const Micros now = actions_.now();
  const Micros since_last = now - status.reported_at_;
  if (since_last <= kReportInterval) return;
  const bool is_late = latency > parameters_.shortest_message_objective;
  const auto change = std::abs(static_cast<double>(latency - status.reported_latency_));
  const bool is_similar =
      is_late && since_last < kReportLifetime && change < kSimilar * static_cast<double>(latency);
  status.record(latency, is_similar, now);
  if (status.similar_in_a_row_ >= kSimilarInARow) {
    // Late like all others, it is no outlier.
    const auto in_time = [this](const auto& peer) { return is_in_time(*peer); };
    if (std::ranges::any_of(fleet_.backends(), in_time)) {
      penalize_backend(backend);
      migration_.run();
    }
  }
  if (is_late && backend.zone != parameters_.zone) evaluate_path(backend.zone);
}

bool LatencyOutlierDetector::was_late(const Backend& backend) const {
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
  const double enough = path.ended_recently(now) ? 1 : kFewKnown;
  const auto is_local_in_time = [this](const auto& backend) {
    return backend->zone == parameters_.zone && is_in_time(*backend);
  };
  if (std::ranges::none_of(fleet_.backends(), is_local_in_time)) return;
  if (reports.late < enough || reports.late < kMostOf * reports.known) return;
  path.impose(reports.lowest_late, now);
  for (const auto& backend : fleet_.backends()) {
    const bool is_outlier = backend->latency.penalty_.is_active(now);
    if (backend->zone == zone && !is_outlier && was_late(*backend) && reports.is_similar(*backend))
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
      reports.lowest_late = std::min(reports.lowest_late, status.penalty_.latency(now));
    else if (was_late(*backend))
      reports.lowest_late = std::min(reports.lowest_late, status.reported_latency_);
  }
  for (const auto& backend : fleet_.backends()) {
    if (backend->zone != zone || backend->state != EndpointState::ready) continue;
    const bool is_outlier = backend->latency.penalty_.is_active(now);
    if (is_outlier || !backend->sessions.empty()) ++reports.known;
    if (is_outlier || (was_late(*backend) && reports.is_similar(*backend))) ++reports.late;
  }
  return reports;
}

bool LatencyOutlierDetector::is_in_time(const Backend& backend) const {
  return backend.state == EndpointState::ready && !backend.sessions.empty() && !was_late(backend);
}

bool LatencyPenalties::is_too_slow_for(const Session& session, const Backend& backend) const {
  const auto objective = static_cast<double>(session.traffic_class->message_latency_objective);
  return static_cast<double>(latency(backend)) > kTolerablePart * objective;
}

}  // namespace cherryrail
