// The simulator's wire: batches of events in, replies with commands out.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string_view>

#include "simulator/balancer_instance.hpp"
#include "simulator/frame_reader.hpp"
#include "simulator/frame_writer.hpp"
#include "simulator/wire_error.hpp"

namespace cherryrail::simulator {

// Plays the batches of one simulated day, with a BalancerInstance for each relay of the fleet. It does no I/O
// of its own: the program reads the frames and writes the replies.
class Adapter {
 public:
  // The length of the frame that begins here, or 0 while too little is there to tell. Throws WireError.
  static std::size_t frame_length(std::string_view bytes);
  // Plays one complete batch; the reply stays valid until the next call. Throws WireError on bad input; what
  // a balancer throws ends the batch with a command that reports it.
  std::string_view play(std::string_view frame);

 private:
  bool play_event(FrameReader& reader, Micros now);
  void dispatch(EventCode code, std::uint16_t number, FrameReader& reader, Micros now);
  void start_instance(std::uint16_t number, FrameReader& reader, Micros now);
  BalancerInstance& find_instance(std::uint16_t number, const FrameReader& reader);

  FrameWriter reply_;  // before the instances, which write to it
  std::map<std::uint16_t, std::unique_ptr<BalancerInstance>> instances_;
};

}  // namespace cherryrail::simulator
