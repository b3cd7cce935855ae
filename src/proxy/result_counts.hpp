// Counts of connections by their result, since the process started.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace cherryrail::proxy {

// `Result` is an enum whose last enumerator is `kLast`.
template <class Result, Result kLast>
class ResultCounts {
 public:
  static constexpr std::size_t kSize = static_cast<std::size_t>(kLast) + 1;

  void add(Result result) { ++counts_[static_cast<std::size_t>(result)]; }
  // Calls visit(result, count) for each result, in enum order.
  template <class Visit>
  void for_each(const Visit& visit) const {
    for (std::size_t i = 0; i < kSize; ++i) visit(static_cast<Result>(i), counts_[i]);
  }

 private:
  std::array<std::uint64_t, kSize> counts_{};
};

}  // namespace cherryrail::proxy
