#include "balancer/local_zone.hpp"

#include <algorithm>

namespace cherryrail {

double LocalZonePreference::weight(const ZoneCapacity& capacity) const {
  const bool is_local_part = capacity.local > 0 && capacity.local < capacity.total;
  if (parameters_.cross_zone_price <= 0 || !is_local_part) return 1;
  const double reconnects = arrivals_.recent_reconnects(actions_.now(), 2) - 1;
  if (kStormRatio * reconnects > static_cast<double>(fleet_.session_count())) return 1;
  if (capacity_.was_generally_overloaded_within(2 * parameters_.slow_start_duration)) return 1;
  const double part = capacity.local / capacity.total;
  const double clients = std::min(kMostClients, part * capacity.zones);
  return std::clamp(clients / (1 - clients) * (1 - part) / part, 1.0, kHighestWeight);
}

}  // namespace cherryrail
