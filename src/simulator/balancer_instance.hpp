// One simulated relay: a Balancer, the sessions and backends it knows by the wire's ids, and its timers.
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

// Turns events into calls on the Balancer, and what the Balancer then does into commands of the reply. Made
// by the Adapter for each instance that starts; it is destroyed when the simulator stops the instance.
class BalancerInstance final : public BalancerActions {
 public:
  // `writer` outlives the instance; `now` is the clock of the batch in which the instance starts.
  BalancerInstance(std::uint16_t number, FrameWriter& writer, Micros now,
                   const config::SiteSettings& settings, std::uint64_t seed);

  // Reads the event behind `code` and acts on it. Throws WireError for a malformed one; what the Balancer
  // throws passes through.
  void handle(EventCode code, FrameReader& reader, Micros now);

  Micros now() const override { return now_; }
  void start_attempt(Session& session, Backend& backend, Micros time_limit) override;
  void cancel_attempt(Session& session) override;
  void reject_session(Session& session, Micros retry_after) override;
  void fail_session(Session& session) override;
  void migrate_session(Session& session) override;
  void check_health(Backend& backend) override;
  void watch_endpoints() override;
  void call_at(Micros when, std::function<void()> then) override;
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
  void on_timer_expired(std::uint64_t timer);

  void add_backends(const std::vector<EndpointRecord>& endpoints);
  void remove_endpoints_missing_from(const std::vector<EndpointRecord>& endpoints);
  std::shared_ptr<SimulatorSession> add_session(const SessionRecord& record);
  SimulatorSession* find_session(std::uint32_t id) const;
  void forget_if_over(std::uint32_t id);
  void forget_answered_sessions();
  static std::uint32_t id_of(const Session& session);
  static std::uint32_t id_of(const Backend& backend);

  std::uint16_t number_;
  FrameWriter& writer_;
  Micros now_;
  EventFormat format_;
  // Looked up by id only, never iterated: their order means nothing.
  std::unordered_map<std::uint32_t, std::shared_ptr<SimulatorSession>> sessions_;
  std::unordered_map<std::uint64_t, std::function<void()>> timers_;
  std::map<std::uint32_t, std::shared_ptr<SimulatorBackend>> backends_;
  std::vector<std::uint32_t> answered_sessions_;  // by the event under way
  std::uint64_t last_timer_ = 0;
  Balancer balancer_;  // last: it acts through the rest from its constructor on
};

}  // namespace cherryrail::simulator
