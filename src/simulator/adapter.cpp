#include "simulator/adapter.hpp"

#include <exception>
#include <string>

namespace cherryrail::simulator {
namespace {

config::SiteSettings read_settings(std::string_view text) {
  try {
    return config::read_site_settings(config::parse_setting_lines(text));
  } catch (const config::ConfigError& error) {
    throw WireError(error.what());
  }
}

}  // namespace

std::size_t Adapter::frame_length(std::string_view bytes) {
  if (bytes.size() < kBatchHeaderSize) return 0;
  FrameReader reader(bytes);
  reader.read_bytes(kBatchLengthOffset, "clock");
  const auto length = reader.read<std::uint32_t>("length");
  if (length < kBatchHeaderSize) {
    const std::string problem = "a frame length of " + std::to_string(length) + " is too short";
    throw WireError(kBatchLengthOffset, problem, length);
  }
  return length;
}

std::string_view Adapter::play(std::string_view frame) {
  FrameReader reader(frame);
  const Micros now = reader.read_time("clock");
  reader.skip<std::uint32_t>("length");
  const auto records = reader.read<std::uint32_t>("number of records");
  reply_.begin();
  bool is_sound = true;
  for (std::uint32_t i = 0; i < records && is_sound; ++i) is_sound = play_event(reader, now);
  if (reader.remaining() > 0)
    reader.fail(std::to_string(reader.remaining()) + " bytes left over after the last record",
                reader.remaining());
  return reply_.finish();
}

// False once a balancer has failed: the rest of the batch is passed over then, and the simulator hears of it.
bool Adapter::play_event(FrameReader& reader, Micros now) {
  const auto code = static_cast<EventCode>(reader.read<std::uint16_t>("a record's code"));
  const auto number = reader.read<std::uint16_t>("relay_id");
  try {
    dispatch(code, number, reader, now);
    return true;
  } catch (const WireError&) {
    throw;
  } catch (const std::exception& failure) {
    reply_.write_text(CommandCode::report_fault, number, failure.what());
    reader.skip_rest();
    return false;
  }
}

void Adapter::dispatch(EventCode code, std::uint16_t number, FrameReader& reader, Micros now) {
  if (code == EventCode::instance_stopped) {
    instances_.erase(number);
    return;
  }
  if (code == EventCode::instance_started) {
    start_instance(number, reader, now);
    return;
  }
  find_instance(number, reader).handle(code, reader, now);
}

void Adapter::start_instance(std::uint16_t number, FrameReader& reader, Micros now) {
  const InstanceStarted event = read_instance_started(reader);
  const config::SiteSettings settings = read_settings(event.settings);
  instances_[number] = std::make_unique<BalancerInstance>(number, reply_, now, settings, event.seed);
}

BalancerInstance& Adapter::find_instance(std::uint16_t number, const FrameReader& reader) {
  const auto found = instances_.find(number);
  if (found == instances_.end()) {
    const std::string instance = std::to_string(number);
    reader.fail("an event for instance " + instance + ", which was not started", number);
  }
  return *found->second;
}

}  // namespace cherryrail::simulator
