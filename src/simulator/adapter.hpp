// The bench's wire: batches in, replies out, one Balancer for each instance, ids turned into objects at the
// door.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>

#include "config/site_settings.hpp"

namespace cherryrail::simulator {

struct WireError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

class BalancerInstance;

class Adapter {
 public:
  Adapter();
  ~Adapter();
  Adapter(const Adapter&) = delete;
  Adapter& operator=(const Adapter&) = delete;

  // The length of the frame that begins here, or 0 while too little is there to tell.
  static std::size_t frame_length(std::string_view bytes);
  // Plays one complete batch; the reply stays valid until the next call. Throws WireError on bad input.
  std::string_view play(std::string_view frame);

 private:
  std::map<std::uint16_t, std::unique_ptr<BalancerInstance>> instances_;
  std::string reply_;
};

}  // namespace cherryrail::simulator
