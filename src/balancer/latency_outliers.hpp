// Finds backends, and paths to zones, that are late whatever their load is.
#pragma once

#include "balancer/capacity.hpp"
#include "balancer/latency_penalties.hpp"
#include "balancer/migration_pool.hpp"

namespace cherryrail {

// Behind a slow path, or while its process hangs, a backend looks overloaded, yet shedding a part of its load
// helps nobody. Overload moves message latencies up and down; an outlier reports the same late one again and
// again. What cannot be in time there migrates, as on a drain, and nothing is placed there while its penalty
// lasts.
class LatencyOutlierDetector {
 public:
  LatencyOutlierDetector(BalancerActions& actions, const BalancerParameters& parameters, const Fleet& fleet,
                         CapacityLimiter& capacity, LatencyPenalties& penalties, MigrationPool& migration)
      : actions_(actions), parameters_(parameters), fleet_(fleet), capacity_(capacity), penalties_(penalties),
        migration_(migration) {}

  // A message on an established session took so long.
  void record_message_latency(Backend& backend, Micros latency);

 private:
  struct ZoneReports;

  static constexpr Micros kReportInterval = kSecond / 2;  // reports that come sooner tell nothing more
  static constexpr Micros kReportLifetime = 2 * kSecond;
  static constexpr double kSimilar = 0.1;        // of a latency: reports that differ by less are alike
  static constexpr unsigned kSimilarInARow = 2;  // after the first
  static constexpr double kFewKnown = 3;
  static constexpr double kMostOf = 0.6;  // of what is known in a zone

  bool was_late(const Backend& backend) const;
  void penalize_backend(Backend& backend);
  // Where most of a zone is late by a similar latency, and something in this relay's own zone is in time, it
  // is the path: for the untried backends there too, and they are not to blame for attempts that fail on it.
  void evaluate_path(unsigned zone);
  ZoneReports reports_of(unsigned zone) const;
  // Holds sessions, and none of them reported a late message.
  bool is_in_time(const Backend& backend) const;

  BalancerActions& actions_;
  const BalancerParameters& parameters_;
  const Fleet& fleet_;
  CapacityLimiter& capacity_;
  LatencyPenalties& penalties_;
  MigrationPool& migration_;
};

}  // namespace cherryrail
