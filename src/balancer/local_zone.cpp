#include "balancer/local_zone.hpp"

#include <algorithm>

namespace cherryrail {

double LocalZonePreference::weight(const ZoneCapacity& capacity) const {
  const bool has_both = capacity.local > 0 && capacity.local < capacity.total;
  if (parameters_.cross_zone_price <= 0 || !has_both) return 1;
  const double reconnects = arrivals_.recent_reconnects(actions_.now(), 2) - 1;
  if (kStormDivisor * reconnects > static_cast<double>(fleet_.session_count())) return 1;
  if (capacity_.was_generally_overloaded_within(2 * parameters_.slow_start_duration)) return 1;
  const double local_share = capacity.local / capacity.total;
  const double local_client_share = std::min(kMaxLocalClientShare, local_share * capacity.zones);
  return std::clamp(local_client_share / (1 - local_client_share) * (1 - local_share) / local_share, 1.0,
                    kMaxWeight);
}

}  // namespace cherryrail
