// CapacityLimiter's queries on past overload; they change no state.
#include "balancer/capacity.hpp"

namespace cherryrail {

bool CapacityLimiter::was_reduced_within(const Backend& backend, Micros time) const {
  return backend.capacity.is_limited() && actions_.now() - backend.capacity.reduced_at_ < time;
}

bool CapacityLimiter::was_reduced_recently(const Backend& backend) const {
  return was_reduced_within(backend, 2 * kMinReductionInterval);
}

bool CapacityLimiter::is_recovering(const Backend& backend) const {
  return was_reduced_within(backend, parameters_.capacity_recovery_time);
}

bool CapacityLimiter::has_spare_capacity_report(const Backend& backend) const {
  const Micros reported_at = backend.capacity.spare_capacity_reported_at_;
  return reported_at > 0 && actions_.now() - reported_at < parameters_.capacity_recovery_time;
}

bool CapacityLimiter::was_generally_overloaded_within(Micros time) const {
  return general_overload_until_ > 0 && actions_.now() < general_overload_until_ + time;
}

}  // namespace cherryrail
