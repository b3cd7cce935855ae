// A token bucket: holds added tokens up to its capacity until they are taken.
#pragma once

#include <algorithm>

namespace cherryrail {

class TokenBucket {
 public:
  TokenBucket(double capacity, double tokens) : capacity_(capacity), tokens_(tokens) {}

  double tokens() const { return tokens_; }
  void add(double tokens) { tokens_ = std::min(capacity_, tokens_ + tokens); }
  void take_one() { tokens_ -= 1; }
  void set(double tokens) { tokens_ = std::clamp(tokens, 0.0, capacity_); }

 private:
  double capacity_;
  double tokens_;
};

}  // namespace cherryrail
