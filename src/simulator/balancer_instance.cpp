#include "simulator/balancer_instance.hpp"

#include <set>
#include <string>
#include <utility>

#include "config/milliseconds.hpp"

namespace cherryrail::simulator {
namespace {

// On the wire a time limit of 0 means no limit; a negative one means that the limit has already expired.
constexpr double kExpiredTimeLimitMs = -1;

// Session updates with an amount at or above this are ignored as implausible.
constexpr double kMaxUpdateAmount = 1e12;

}  // namespace

struct BalancerInstance::SimulatorSession : Session {
  std::uint32_t id = 0;
  std::uint8_t attempts_started = 0;
};

struct BalancerInstance::SimulatorBackend : Backend {
  std::uint32_t id = 0;
};

std::uint32_t BalancerInstance::id_of(const Session& session) {
  return static_cast<const SimulatorSession&>(session).id;
}

std::uint32_t BalancerInstance::id_of(const Backend& backend) {
  return static_cast<const SimulatorBackend&>(backend).id;
}

BalancerInstance::BalancerInstance(std::uint16_t instance_id, FrameWriter& writer, Micros now,
                                   const config::SiteSettings& settings, std::uint64_t seed)
    : instance_id_(instance_id), writer_(writer),
      now_(now), format_{settings.config.traffic_classes.size(), settings.utilization_index},
      balancer_(*this, settings.config, seed) {}

void BalancerInstance::handle(EventCode code, FrameReader& reader, Micros now) {
  now_ = now;
  dispatch(code, reader);
  erase_finished_sessions();
}

void BalancerInstance::dispatch(EventCode code, FrameReader& reader) {
  switch (code) {
    case EventCode::endpoints_updated:
      return on_endpoints_updated(read_endpoints_updated(reader));
    case EventCode::session_requested:
      return on_session_requested(read_session_requested(reader, format_));
    case EventCode::session_already_open:
      return on_session_already_open(read_session_already_open(reader, format_), reader);
    case EventCode::attempt_ended:
      return on_attempt_ended(read_attempt_ended(reader, format_));
    case EventCode::session_established:
      return on_session_established(read_session_established(reader));
    case EventCode::health_check_ended:
      return on_health_check_ended(read_health_check_ended(reader, format_));
    case EventCode::client_left:
      return on_client_left(reader.read<std::uint32_t>("req"));
    case EventCode::session_update:
      return on_session_update(read_session_update(reader));
    case EventCode::timer_expired:
      return on_timer_expired(reader.read<std::uint64_t>("handle"));
    case EventCode::peer_message:
      return skip_peer_message(reader);
    case EventCode::instance_started:
    case EventCode::instance_stopped:
      break;  // handled by the Adapter
  }
  reader.fail_unknown("event code", static_cast<std::uint16_t>(code));
}

void BalancerInstance::on_endpoints_updated(const EndpointsUpdated& update) {
  add_backends(update.endpoints);
  if (update.mode == ListMode::failed) {
    balancer_.on_discovery_failed();
    return;
  }
  for (const EndpointRecord& endpoint : update.endpoints) {
    const std::shared_ptr<SimulatorBackend>& backend = backends_.at(endpoint.backend_id);
    balancer_.update_endpoint(backend, endpoint.state, endpoint.weight, endpoint.started_at);
  }
  if (update.mode != ListMode::changes) remove_endpoints_missing_from(update.endpoints);
  // A cached list may be stale, so it does not show that discovery is reachable.
  if (update.mode != ListMode::cached) balancer_.on_endpoints_updated();
}

// Creates missing backends and sets the zone and cell of all of them, so that the balancer knows every
// location when it acts on the first update.
void BalancerInstance::add_backends(const std::vector<EndpointRecord>& endpoints) {
  for (const EndpointRecord& endpoint : endpoints) {
    std::shared_ptr<SimulatorBackend>& backend = backends_[endpoint.backend_id];
    if (!backend) {
      backend = std::make_shared<SimulatorBackend>();
      backend->id = endpoint.backend_id;
      backend->name = endpoint.backend_id;
    }
    backend->zone = endpoint.zone;
    backend->cell = endpoint.cell;
  }
}

void BalancerInstance::remove_endpoints_missing_from(const std::vector<EndpointRecord>& endpoints) {
  std::set<std::uint32_t> listed;
  for (const EndpointRecord& endpoint : endpoints) listed.insert(endpoint.backend_id);
  for (const auto& [id, backend] : backends_) {
    if (listed.contains(id)) continue;
    balancer_.update_endpoint(backend, EndpointState::gone, backend->relative_capacity,
                              backend->slow_start.started_at());
  }
}

std::shared_ptr<BalancerInstance::SimulatorSession> BalancerInstance::add_session(
    const SessionRecord& record) {
  auto session = std::make_shared<SimulatorSession>();
  session->id = record.id;
  session->traffic_class = &balancer_.traffic_classes()[record.traffic_class];
  session->group_key = record.group_key;
  session->client_key = record.client_key;
  session->deadline = now_ + record.time_left;
  session->tenant = record.tenant;
  session->load_hint = record.load_hint;
  session->is_mid_flow = record.is_mid_flow;
  session->is_reconnecting = record.is_reconnecting;
  sessions_.insert_or_assign(record.id, session);
  return session;
}

void BalancerInstance::on_session_requested(const SessionRecord& record) {
  balancer_.admit(add_session(record));
}

void BalancerInstance::on_session_already_open(const SessionRecord& record, const FrameReader& reader) {
  const std::uint32_t backend_id = record.backend_id.value();
  const auto backend = backends_.find(backend_id);
  if (backend == backends_.end())
    reader.fail("AlreadyOpen for a backend that is in no endpoint list: " + std::to_string(backend_id),
                backend_id);
  const auto session = add_session(record);
  session->attempts_started = 1;  // the wire counts the attempt that opened the session
  balancer_.adopt(session, backend->second);
}

void BalancerInstance::on_attempt_ended(const AttemptEnded& event) {
  SimulatorSession* session = find_session(event.session_id);
  if (!session) return;
  balancer_.on_attempt_ended(*session, event.outcome, event.is_session_finished, event.report);
  erase_if_finished(event.session_id);
}

void BalancerInstance::on_session_established(const SessionEstablished& event) {
  SimulatorSession* session = find_session(event.session_id);
  if (session) balancer_.on_established(*session, event.duration);
}

void BalancerInstance::on_health_check_ended(const HealthCheckEnded& event) {
  const auto backend = backends_.find(event.backend_id);
  if (backend == backends_.end()) return;
  balancer_.on_health_check_ended(*backend->second, event.outcome, event.report);
}

void BalancerInstance::on_client_left(std::uint32_t session_id) {
  SimulatorSession* session = find_session(session_id);
  if (!session) return;
  balancer_.on_client_left(*session);
  erase_if_finished(session_id);
}

void BalancerInstance::on_session_update(const SessionUpdate& event) {
  SimulatorSession* session = find_session(event.session_id);
  const bool is_usable = event.amount >= 0 && event.amount < kMaxUpdateAmount;
  if (!session || !is_usable) return;
  if (event.kind == SessionUpdateKind::load) balancer_.on_load_reported(*session, event.amount);
  if (event.kind == SessionUpdateKind::message_latency)
    balancer_.on_message_latency_reported(*session, config::micros_from_milliseconds(event.amount));
}

void BalancerInstance::on_timer_expired(std::uint64_t timer_id) {
  const auto found = timers_.find(timer_id);
  if (found == timers_.end()) return;
  const std::function<void()> callback = std::move(found->second);
  timers_.erase(found);
  callback();
}

BalancerInstance::SimulatorSession* BalancerInstance::find_session(std::uint32_t id) const {
  const auto found = sessions_.find(id);
  return found == sessions_.end() ? nullptr : found->second.get();
}

void BalancerInstance::erase_if_finished(std::uint32_t id) {
  const SimulatorSession* session = find_session(id);
  if (session && session->is_answered && !session->backend) sessions_.erase(id);
}

// A session that is answered and has no attempt under way is finished; a session with an attempt is erased
// when that attempt's outcome arrives.
void BalancerInstance::erase_finished_sessions() {
  for (const std::uint32_t id : answered_sessions_) erase_if_finished(id);
  answered_sessions_.clear();
}

void BalancerInstance::start_attempt(Session& session, Backend& backend, Micros time_limit) {
  ++static_cast<SimulatorSession&>(session).attempts_started;
  const double limit = time_limit > 0 ? wire_milliseconds(time_limit) : kExpiredTimeLimitMs;
  writer_.write(CommandCode::start_attempt, instance_id_, id_of(session), id_of(backend), limit);
}

void BalancerInstance::cancel_attempt(Session& session) {
  const std::uint8_t started = static_cast<SimulatorSession&>(session).attempts_started;
  if (started == 0) return;
  const auto last_attempt = static_cast<std::uint8_t>(started - 1);
  writer_.write(CommandCode::cancel_attempt, instance_id_, id_of(session), last_attempt);
}

void BalancerInstance::reject_session(Session& session, Micros retry_after) {
  writer_.write(CommandCode::reject_session, instance_id_, id_of(session), wire_milliseconds(retry_after));
  answered_sessions_.push_back(id_of(session));
}

void BalancerInstance::fail_session(Session& session) {
  writer_.write(CommandCode::fail_session, instance_id_, id_of(session));
  answered_sessions_.push_back(id_of(session));
}

void BalancerInstance::migrate_session(Session& session) {
  writer_.write(CommandCode::migrate_session, instance_id_, id_of(session));
}

void BalancerInstance::check_health(Backend& backend) {
  writer_.write(CommandCode::check_health, instance_id_, id_of(backend));
}

void BalancerInstance::watch_endpoints() {
  constexpr std::uint8_t kSubscribed = 1;
  writer_.write(CommandCode::watch_endpoints, instance_id_, kSubscribed);
}

// The simulator cannot cancel a timer: it reports a cancelled one as well, whose id is then unknown.
TimerId BalancerInstance::call_at(Micros when, std::function<void()> callback) {
  ++last_timer_id_;
  timers_.emplace(last_timer_id_, std::move(callback));
  writer_.write(CommandCode::set_timer, instance_id_, last_timer_id_, wire_milliseconds(when));
  return {when, last_timer_id_};
}

void BalancerInstance::log(const std::string& line) {
  writer_.write_text(CommandCode::log_line, instance_id_, line);
}

}  // namespace cherryrail::simulator
