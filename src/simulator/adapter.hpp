// Entry point of the simulator's wire protocol: takes batches of events and returns replies with commands.
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

// Processes the batches of one simulation run, with one BalancerInstance for each relay of the fleet. Does no
// I/O: the program (main.cpp) reads the frames and writes the replies.
class Adapter {
 public:
  // Length in bytes of the frame at the start of `bytes`, or 0 if the header is still incomplete. Throws
  // WireError if the length field is shorter than the header.
  static std::size_t frame_length(std::string_view bytes);
  // Processes one complete batch; the returned reply is valid until the next call. Throws WireError on
  // malformed input. Any other exception comes from a balancer: it ends the batch and is reported to the
  // simulator by a report_fault command.
  std::string_view process_batch(std::string_view frame);

 private:
  bool process_event(FrameReader& reader, Micros now);
  void dispatch(EventCode code, std::uint16_t instance_id, FrameReader& reader, Micros now);
  void start_instance(std::uint16_t instance_id, FrameReader& reader, Micros now);
  BalancerInstance& find_instance(std::uint16_t instance_id, const FrameReader& reader);

  FrameWriter reply_;  // declared before the instances, which hold a reference to it
  std::map<std::uint16_t, std::unique_ptr<BalancerInstance>> instances_;
};

}  // namespace cherryrail::simulator
