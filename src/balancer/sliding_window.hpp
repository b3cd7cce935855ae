// A sum over the recent past, kept in a fixed amount of memory.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "balancer/time.hpp"

namespace cherryrail {

// Sums what was added within the last `kBuckets` times the bucket width. The buckets are a ring and used
// again, so the sum is exact to one bucket's width: the oldest bucket leaves the sum as a whole.
template <std::size_t kBuckets>
class SlidingWindowOf {
 public:
  // `bucket_width` is in microseconds; a width of 0 or less counts as 1.
  explicit SlidingWindowOf(Micros bucket_width) : bucket_width_(bucket_width > 0 ? bucket_width : 1) {}

  // Adds an amount at the time `now`. An amount older than the window is left out.
  void add(Micros now, double amount);
  // The sum over the latest `buckets` buckets, at most all of them. The bucket of `now` is the latest.
  double sum(Micros now, std::int64_t buckets = kBuckets) const;

 private:
  struct Bucket {
    std::int64_t number = -1;  // of the bucket since time 0, so that an old one is told from a new one
    double amount = 0;
  };

  Micros bucket_width_;
  std::array<Bucket, kBuckets> buckets_{};
};

using SlidingWindow = SlidingWindowOf<8>;

}  // namespace cherryrail
