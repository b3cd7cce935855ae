// One simulated relay: a Balancer with its sessions, backends and timers, looked up by their ids on the wire.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "balancer/balancer.hpp"
#include "config/site_settings.hpp"
#include "simulator/events.hpp"
#include "simulator/frame_reader.hpp"
#include "simulator/frame_writer.hpp"

namespace cherryrail::simulator {

// Translates events into calls on the Balancer, and the Balancer's actions into commands of the reply. The
// Adapter creates one when the simulator starts an instance and destroys it when the instance is stopped.
class BalancerInstance final : public BalancerActions {
 public:
  // `writer` must outlive the instance; `now` is the clock of the batch that starts the instance.
  BalancerInstance(std::uint16_t instance_id, FrameWriter& writer, Micros now,
                   const config::SiteSettings& settings, std::uint64_t seed);

  // Reads the fields of the event with this `code` and applies it. Throws WireError if the event is
  // malformed; exceptions of the Balancer pass through.
  void handle(EventCode code, FrameReader& reader, Micros now);

  Micros now() const override { return now_; }
  void start_attempt(Session& session, Backend& backend, Micros time_limit) override;
  void cancel_attempt(Session& session) override;
  void reject_session(Session& session, Micros retry_after) override;
  void fail_session(Session& session) override;
  void migrate_session(Session& session) override;
  void check_health(Backend& backend) override;
  void watch_endpoints() override;
  TimerId call_at(Micros when, std::function<void()> callback) override;
  void cancel_call(const TimerId& timer) override { timers_.erase(timer.sequence); }
  void log(const std::string& line) override;

 private:
  struct SimulatorSession;
  struct SimulatorBackend;

  void dispatch(EventCode code, FrameReader& reader);
  void on_endpoints_updated(const EndpointsUpdated& update);
  void on_session_requested(const SessionRecord& record);
  void on_session_already_open(const SessionRecord& record, const FrameReader& reader);
  void on_attempt_ended(const AttemptEnded& event);
  void on_session_established(const SessionEstablished& event);
  void on_health_check_ended(const HealthCheckEnded& event);
  void on_client_left(std::uint32_t session_id);
  void on_session_update(const SessionUpdate& event);
  void on_timer_expired(std::uint64_t timer_id);

  void add_backends(const std::vector<EndpointRecord>& endpoints);
  void remove_endpoints_missing_from(const std::vector<EndpointRecord>& endpoints);
  std::shared_ptr<SimulatorSession> add_session(const SessionRecord& record);
  SimulatorSession* find_session(std::uint32_t id) const;
  void erase_if_finished(std::uint32_t id);
  void erase_finished_sessions();
  static std::uint32_t id_of(const Session& session);
  static std::uint32_t id_of(const Backend& backend);

  std::uint16_t instance_id_;
  FrameWriter& writer_;
  Micros now_;
  EventFormat format_;
  // Looked up by id only and never iterated, so their order does not matter.
  std::unordered_map<std::uint32_t, std::shared_ptr<SimulatorSession>> sessions_;
  std::unordered_map<std::uint64_t, std::function<void()>> timers_;
  std::map<std::uint32_t, std::shared_ptr<SimulatorBackend>> backends_;
  std::vector<std::uint32_t> answered_sessions_;  // ids of those answered during the current event
  std::uint64_t last_timer_id_ = 0;
  Balancer balancer_;  // declared last: its constructor already calls actions that use the other members
};

}  // namespace cherryrail::simulator
