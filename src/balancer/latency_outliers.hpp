// Finds backends, and network paths to zones, that are slow independently of their load.
#pragma once

#include "balancer/capacity.hpp"
#include "balancer/latency_penalties.hpp"
#include "balancer/migration_pool.hpp"

namespace cherryrail {

// A backend behind a slow network path, or one whose process hangs, looks overloaded, but shedding a part of
// its load does not help. Under overload, message latencies rise and fall; a latency outlier reports a
// similar high latency again and again. While its penalty lasts, sessions whose objective it cannot meet
// migrate away, as from a draining backend, and none are placed there.
class LatencyOutlierDetector {
 public:
  LatencyOutlierDetector(BalancerActions& actions, const BalancerParameters& parameters, const Fleet& fleet,
                         CapacityLimiter& capacity, LatencyPenalties& penalties, MigrationPool& migration)
      : actions_(actions), parameters_(parameters), fleet_(fleet), capacity_(capacity), penalties_(penalties),
        migration_(migration) {}

  // `latency` is that of a message on an established session.
  void record_message_latency(Backend& backend, Micros latency);

 private:
  struct ZoneReports;

  static constexpr Micros kMinReportInterval = kSecond / 2;  // earlier reports are ignored
  static constexpr Micros kReportLifetime = 2 * kSecond;
  static constexpr double kSimilarityTolerance = 0.1;       // relative difference of similar latencies
  static constexpr unsigned kSimilarReportsForOutlier = 2;  // consecutive, after the first
  static constexpr double kMinSlowBackends = 3;             // in a zone, for a slow path; 1 in a relapse
  static constexpr double kMinSlowShare = 0.6;  // of the known backends in a zone, for a slow path

  bool was_slow(const Backend& backend) const;
  void penalize_backend(Backend& backend);
  // If most backends of a zone report a similar high latency while a backend in the local zone meets its
  // objective, the path to that zone is slow. The penalty then covers the zone's untried backends too, and
  // attempts that fail on the path do not count against its backends.
  void evaluate_path(unsigned zone);
  ZoneReports reports_of(unsigned zone) const;
  // Whether the backend is ready, holds sessions and has no recent report of a slow message.
  bool meets_objective(const Backend& backend) const;

  BalancerActions& actions_;
  const BalancerParameters& parameters_;
  const Fleet& fleet_;
  CapacityLimiter& capacity_;
  LatencyPenalties& penalties_;
  MigrationPool& migration_;
};

}  // namespace cherryrail
