#include "balancer/sliding_window.hpp"

#include <algorithm>
#include <iterator>

namespace cherryrail {

template <std::size_t kBuckets>
void SlidingWindowOf<kBuckets>::add(Micros now, double amount) {
  const std::int64_t number = now / bucket_width_;
  Bucket& bucket = buckets_[static_cast<std::size_t>(number) % kBuckets];
  if (bucket.number > number) return;
  if (bucket.number != number) bucket = {number, 0};
  bucket.amount += amount;
}

template <std::size_t kBuckets>
double SlidingWindowOf<kBuckets>::sum(Micros now, std::int64_t buckets) const {
  const std::int64_t oldest = now / bucket_width_ - std::min(buckets, std::ssize(buckets_));
  double total = 0;
  for (const Bucket& bucket : buckets_) {
    total += bucket.number > oldest ? bucket.amount : 0;
  }
  return total;
}

// The two sizes in use: 8 buckets for short-term statistics, 64 for the retry budget, which must be precise.
template class SlidingWindowOf<8>;
template class SlidingWindowOf<64>;

}  // namespace cherryrail
