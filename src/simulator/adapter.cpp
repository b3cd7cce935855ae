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
  if (bytes.size() < kBatchHeaderBytes) return 0;
  FrameReader reader(bytes);
  reader.read_bytes(kBatchLengthOffsetBytes, "clock");
  const auto length = reader.read<std::uint32_t>("length");
  if (length < kBatchHeaderBytes) {
    const std::string problem =
        "frame length " + std::to_string(length) + " is shorter than the batch header";
    throw WireError(kBatchLengthOffsetBytes, problem, length);
  }
  return length;
}

std::string_view Adapter::process_batch(std::string_view frame) {
  FrameReader reader(frame);
  const Micros now = reader.read_time("clock");
  reader.skip<std::uint32_t>("length");
  const auto record_count = reader.read<std::uint32_t>("number of records");
  reply_.begin();
  bool has_succeeded = true;
  for (std::uint32_t i = 0; i < record_count && has_succeeded; ++i)
    has_succeeded = process_event(reader, now);
  if (reader.remaining() > 0)
    reader.fail(std::to_string(reader.remaining()) + " bytes left over after the last record",
                reader.remaining());
  return reply_.finish();
}

// Returns false if the balancer threw: the failure is then reported to the simulator and the rest of the
// batch is skipped.
bool Adapter::process_event(FrameReader& reader, Micros now) {
  const auto code = static_cast<EventCode>(reader.read<std::uint16_t>("record code"));
  const auto instance_id = reader.read<std::uint16_t>("relay_id");
  try {
    dispatch(code, instance_id, reader, now);
    return true;
  } catch (const WireError&) {
    throw;
  } catch (const std::exception& failure) {
    reply_.write_text(CommandCode::report_fault, instance_id, failure.what());
    reader.skip_rest();
    return false;
  }
}

void Adapter::dispatch(EventCode code, std::uint16_t instance_id, FrameReader& reader, Micros now) {
  if (code == EventCode::instance_stopped) {
    instances_.erase(instance_id);
    return;
  }
  if (code == EventCode::instance_started) {
    start_instance(instance_id, reader, now);
    return;
  }
  find_instance(instance_id, reader).handle(code, reader, now);
}

void Adapter::start_instance(std::uint16_t instance_id, FrameReader& reader, Micros now) {
  const InstanceStarted event = read_instance_started(reader);
  const config::SiteSettings settings = read_settings(event.settings);
  instances_[instance_id] =
      std::make_unique<BalancerInstance>(instance_id, reply_, now, settings, event.seed);
}

BalancerInstance& Adapter::find_instance(std::uint16_t instance_id, const FrameReader& reader) {
  const auto found = instances_.find(instance_id);
  if (found == instances_.end()) {
    const std::string instance = std::to_string(instance_id);
    reader.fail("event for instance " + instance + ", which is not running", instance_id);
  }
  return *found->second;
}

}  // namespace cherryrail::simulator
