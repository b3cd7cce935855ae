// A sum over a sliding time window, in a fixed amount of memory.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "balancer/time.hpp"

namespace cherryrail {

// Sums the amounts added within the last `kBuckets` times the bucket width. The buckets form a ring, and the
// oldest is dropped as a whole, so the window is exact to one bucket width.
template <std::size_t kBuckets>
class SlidingWindowOf {
 public:
  // `bucket_width` is in microseconds; a width of 0 or less counts as 1.
  explicit SlidingWindowOf(Micros bucket_width) : bucket_width_(bucket_width > 0 ? bucket_width : 1) {}

  // Adds an amount at the time `now`. An amount older than the window is ignored.
  void add(Micros now, double amount);
  // The sum over the last `buckets` buckets, at most kBuckets, ending with the bucket of `now`.
  double sum(Micros now, std::int64_t buckets = kBuckets) const;

 private:
  struct Bucket {
    std::int64_t number = -1;  // counted from time 0; shows whether the slot holds an expired bucket
    double amount = 0;
  };

  Micros bucket_width_;
  std::array<Bucket, kBuckets> buckets_{};
};

using SlidingWindow = SlidingWindowOf<8>;

}  // namespace cherryrail
