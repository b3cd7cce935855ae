#include "proxy/proxy_server.hpp"

#include <algorithm>
#include <limits>
#include <utility>
#include <variant>

namespace cherryrail::proxy {
namespace {

// How long a process that knows backends already waits at most for a current endpoint list.
constexpr Micros kStartupListTimeout = kSecond;
// First line timeout of a discovery server that all relays share: the server answers requests one by one.
constexpr Micros kSharedDiscoveryFirstLineTimeout = 3 * kSecond;
// First line timeout of a discovery agent that serves this relay only.
constexpr Micros kAgentDiscoveryFirstLineTimeout = kSecond;

ProxySession& as_proxy_session(Session& session) { return static_cast<ProxySession&>(session); }

// The shortest attempt latency objective of any traffic class, at most one second.
Micros shortest_attempt_objective(const config::SiteSettings& settings) {
  Micros shortest = kSecond;
  for (const TrafficClass& traffic_class : settings.config.traffic_classes) {
    const Micros objective = traffic_class.attempt_latency_objective;
    if (objective > 0) shortest = std::min(shortest, objective);
  }
  return shortest;
}

// Of any traffic class that has one.
Micros shortest_client_timeout(const config::SiteSettings& settings) {
  Micros shortest = std::numeric_limits<Micros>::max();
  for (const TrafficClass& traffic_class : settings.config.traffic_classes) {
    if (traffic_class.client_timeout > 0) shortest = std::min(shortest, traffic_class.client_timeout);
  }
  return shortest;
}

HealthCheckConfig health_check_config(const config::SiteSettings& settings) {
  HealthCheckConfig config;
  config.request = settings.reports_on_health_check ? "STATS" : "PING";
  config.connect_timeout = settings.connect_timeout;
  config.response_timeout = std::max(settings.connect_timeout, shortest_attempt_objective(settings) / 2);
  config.idle_timeout = settings.idle_timeout;
  return config;
}

net::SocketPtr listening_socket(const config::RelayConfig& config) {
  if (config.inherited_listener) return net::adopt_socket(*config.inherited_listener);
  return net::create_listening_socket(config.listen_address);
}

}  // namespace

ProxyServer::ProxyServer(net::EventLoop& event_loop, const config::RelayConfig& config)
    : event_loop_(event_loop), settings_(config.settings), invariants_(event_loop.log()),
      has_inherited_listener_(config.inherited_listener.has_value()),
      descriptors_(event_loop, config.descriptor_limit),
      discovery_(
          event_loop, config.discovery, config.known_endpoints.version,
          config.is_list_pushed ? kAgentDiscoveryFirstLineTimeout : kSharedDiscoveryFirstLineTimeout,
          [this](const auto& list, Micros current_until) { on_endpoint_list(list, current_until); },
          [this](Micros retry_within) { balancer_.on_discovery_failed(retry_within); }),
      health_checker_(event_loop, health_check_config(settings_)),
      upstream_(event_loop, settings_.connect_timeout, upstream_callbacks()),
      balancer_(*this, settings_.config, config.seed), load_reports_(settings_, balancer_),
      endpoints_(event_loop, balancer_, settings_.zone_names),
      unlisted_backends_(event_loop, balancer_, endpoints_), request_reader_(settings_, balancer_),
      session_ids_(event_loop), config_reloader_(event_loop, config, balancer_, discovery_, descriptors_),
      unresponsive_sessions_(event_loop, upstream_, balancer_, shortest_attempt_objective(settings_)) {
  apply_endpoints(config.known_endpoints, 0);
  downstream_ =
      std::make_unique<DownstreamListener>(event_loop, listening_socket(config), downstream_callbacks());
  shutdown_ = std::make_unique<ShutdownSequence>(event_loop, *downstream_, has_inherited_listener_,
                                                 longest_client_timeout());
  unresponsive_sessions_.run();
  const Micros wait = startup_wait(config);
  if (wait > 0) {
    startup_timer_ = net::Timer(event_loop_, event_loop_.now() + wait, [this] { start_accepting(); });
  } else {
    start_accepting();
  }
  event_loop_.log().write(net::Topic::lifecycle, "{} started, {} backends known", config.name,
                          endpoints_.size());
}

ProxyServer::~ProxyServer() = default;

// ---- Start ----------------------------------------------------------------------------------------------

DownstreamCallbacks ProxyServer::downstream_callbacks() {
  DownstreamCallbacks callbacks;
  callbacks.create_session = [this](std::string_view line) {
    return std::make_shared<ProxySession>(event_loop_, balancer_, invariants_, line);
  };
  callbacks.on_session_requested = [this](const auto& session) { on_session_requested(session); };
  callbacks.are_descriptors_short = [this] { return descriptors_.is_exhausted(); };
  return callbacks;
}

UpstreamCallbacks ProxyServer::upstream_callbacks() {
  UpstreamCallbacks callbacks;
  callbacks.parse_load_report = [](std::string_view fields) { return LoadReportReader::parse(fields); };
  callbacks.on_load_line = [this](ProxySession& session, double value) {
    load_reports_.report_load_line(session, value);
  };
  return callbacks;
}

// How long the relay waits for an endpoint list before it accepts clients. With an outdated list, attempts go
// to backends that have left; but discovery may be down for long, and a relay that never accepts serves
// nobody. Where a local agent pushes the list, the agent already knows which backends drain, so the relay has
// to heed this from its start, also if the agent is slow to answer. Clients may connect at once, and time
// spent in the listen backlog does not extend a client's timeout, so half of it is left to serve them.
Micros ProxyServer::startup_wait(const config::RelayConfig& config) const {
  if (has_inherited_listener_) return kStartupListTimeout;
  const bool must_heed_drains = config.is_list_pushed && settings_.drain_grace > 0;
  if (!must_heed_drains) return 0;
  return std::min(kStartupListTimeout, shortest_client_timeout(settings_) / 2);
}

void ProxyServer::start_accepting() {
  if (is_accepting_ || shutdown_->has_begun()) return;
  is_accepting_ = true;
  downstream_->set_accepting(true);
  if (on_ready_) on_ready_();
}

void ProxyServer::on_ready(std::function<void()> callback) {
  on_ready_ = std::move(callback);
  if (is_accepting_) event_loop_.post(on_ready_);
}

void ProxyServer::on_endpoint_list(const protocol::EndpointList& list, Micros current_until) {
  const bool is_changed = apply_endpoints(list, current_until);
  unlisted_backends_.on_endpoint_list(list);
  if (endpoints_.size() > 0) start_accepting();
  if (is_changed && on_endpoints_changed_) on_endpoints_changed_();
}

bool ProxyServer::apply_endpoints(const protocol::EndpointList& list, Micros current_until) {
  endpoints_.apply(list, current_until);
  return endpoint_record_.apply(list);
}

// The changes are no complete list: the snapshot may be older than a backend that a session waits for, so it
// ends no such wait.
bool ProxyServer::adopt_endpoints(const EndpointSnapshot& snapshot) {
  if (!discovery_.adopt(snapshot)) return false;
  const protocol::EndpointList changes = endpoint_record_.changes_to(snapshot.list);
  apply_endpoints(changes, 0);
  unlisted_backends_.on_endpoint_list(changes);
  return true;
}

Micros ProxyServer::longest_client_timeout() const {
  Micros longest = 0;
  for (const TrafficClass& traffic_class : balancer_.traffic_classes())
    longest = std::max(longest, traffic_class.client_timeout);
  return longest;
}

// ---- Sessions from open request to final answer ---------------------------------------------------------

void ProxyServer::on_session_requested(const std::shared_ptr<ProxySession>& session) {
  auto fault = request_reader_.read(*session, event_loop_.now());
  if (!fault && !register_id(*session)) fault = SessionRequestFault::duplicate_id;
  if (fault) {
    event_loop_.log().write(net::Topic::error, "bad open request: {}", describe(*fault, session->request()));
    session->refuse("ERR", DownstreamResult::bad_request);
    return;
  }
  // A session needs a second descriptor for its backend. With none left, the attempt could not connect and
  // the listener could not accept. The request has not been sent to any backend yet, so it can be rejected.
  downstream_->free_descriptors();
  if (descriptors_.is_exhausted()) {
    session->refuse("BUSY", DownstreamResult::no_descriptors);
    return;
  }
  admit(session);
}

bool ProxyServer::register_id(ProxySession& session) {
  auto registration = session_ids_.add(session.id());
  if (!registration) return false;
  session.set_id_registration(std::move(*registration));
  return true;
}

// A client that names the backend of its earlier session is sent to this backend only.
void ProxyServer::admit(const std::shared_ptr<ProxySession>& session) {
  const std::string_view uid = session->request().value("at");
  if (uid.empty()) {
    balancer_.admit(session);
    return;
  }
  session->pinned_backend = endpoints_.find(uid);
  event_loop_.log().write(net::Topic::connection, "restore requested: session={} at={} backend={}",
                          session->id(), uid, session->pinned_backend ? session->pinned_backend->name : 0);
  if (session->pinned_backend) {
    balancer_.admit(session);
  } else {
    unlisted_backends_.add(session);
  }
}

void ProxyServer::start_attempt(Session& session, Backend& backend, Micros timeout) {
  upstream_.start_attempt(std::static_pointer_cast<ProxySession>(session.shared_from_this()),
                          as_proxy_backend(backend).address, timeout,
                          RetryPolicy::connect_timeout_factor(session));
}

void ProxyServer::cancel_attempt(Session& session) { as_proxy_session(session).abandon_attempt(); }

void ProxyServer::reject_session(Session& session, Micros retry_after) {
  as_proxy_session(session).reject(retry_after);
}

void ProxyServer::fail_session(Session& session) { as_proxy_session(session).fail(); }

void ProxyServer::migrate_session(Session& session) { as_proxy_session(session).migrate(); }

// ---- Other actions of the balancer ----------------------------------------------------------------------

void ProxyServer::check_health(Backend& backend) {
  const auto target = std::static_pointer_cast<ProxyBackend>(backend.shared_from_this());
  // While clients hold all other descriptors, health checks must not use up the last ones. A skipped check is
  // reported as rejected, as is a check that finds no descriptor: neither is a failure of the backend.
  if (!descriptors_.allows_use_of_reserve()) {
    event_loop_.post([this, target] {
      balancer_.on_health_check_ended(*target, {AttemptResult::rejected, 0}, {});
    });
    return;
  }
  health_checker_.check(target->uid, target->address,
                        [this, target](const AttemptOutcome& outcome, std::string_view report) {
                          balancer_.on_health_check_ended(*target, outcome, LoadReportReader::parse(report));
                        });
}

// Posted, because the balancer requests the watch from within its own constructor.
void ProxyServer::watch_endpoints() {
  event_loop_.post([this] { discovery_.ensure_watching(); });
}

TimerId ProxyServer::call_at(Micros when, std::function<void()> then) {
  return event_loop_.call_at(when, std::move(then));
}

void ProxyServer::log(const std::string& line) { event_loop_.log().write(net::Topic::balancer, "{}", line); }

ProxyStatistics ProxyServer::statistics() const {
  return {downstream_->result_counts(), upstream_.result_counts(),     invariants_,
          downstream_->session_count(), event_loop_.watch_count(),     event_loop_.timer_count(),
          session_ids_.ended_count(),   event_loop_.wall_clock_step(), event_loop_.log().lost_lines()};
}

// ---- Shutdown and hot restart ---------------------------------------------------------------------------

void ProxyServer::begin_graceful_shutdown() {
  if (shutdown_->has_begun()) return;
  // Clients may wait in the listen backlog already and have to be answered. The backlog of an inherited
  // socket outlives this process: the next one accepts them.
  if (!has_inherited_listener_) start_accepting();
  shutdown_->begin();
  event_loop_.log().write(net::Topic::lifecycle, "shutting down: {} sessions to migrate",
                          downstream_->session_count());
  shutdown_->call_after_client_arrivals([this] {
    balancer_.begin_graceful_shutdown();
    stop_when_empty();
  });
}

// Stops accepting: new clients are better served by the successor, since this process is about to end.
StateSnapshot ProxyServer::export_state() {
  shutdown_->begin();
  event_loop_.log().write(net::Topic::lifecycle, "shutting down: {} sessions to hand over",
                          downstream_->session_count());
  downstream_->set_accepting(false);
  StateSnapshot state = balancer_.export_state();
  state.clock_origin = event_loop_.clock_origin();
  return state;
}

bool ProxyServer::hand_over(const SendHandover& send) {
  downstream_->hand_over(send);
  return downstream_->is_empty();
}

Micros ProxyServer::handover_deadline() const { return shutdown_->client_deadline(); }

void ProxyServer::migrate_remaining_sessions() {
  event_loop_.log().write(net::Topic::lifecycle, "{} sessions could not be handed over: migrating them",
                          downstream_->session_count());
  balancer_.begin_graceful_shutdown(0);
  stop_when_empty();
}

void ProxyServer::stop_when_empty() { shutdown_->stop_when_empty(); }

void ProxyServer::receive_handover(IncomingHandover handover) {
  if (auto* state = std::get_if<StateSnapshot>(&handover.message)) {
    import_state(std::move(*state));
    return;
  }
  if (const auto* ids = std::get_if<ClaimedSessionIds>(&handover.message)) {
    session_ids_.record_claims_of_peer(ids->hashes);
    return;
  }
  net::SocketPtr downstream = net::adopt_socket(handover.downstream.release());
  if (const auto* pending = std::get_if<PendingClient>(&handover.message)) {
    downstream_->add_pending_client(std::move(downstream), pending->received, pending->waited);
    return;
  }
  net::SocketPtr upstream = net::adopt_socket(handover.upstream.release());
  resume_session(std::get<OpenSession>(handover.message), std::move(downstream), std::move(upstream));
}

// Each process counts its times from its clock origin, read from the wall clock at its start. The wall clock
// may have been stepped between the starts of the two processes.
void ProxyServer::import_state(StateSnapshot state) {
  if (state.clock_origin > 0) shift_times(state, event_loop_.clock_origin() - state.clock_origin);
  balancer_.import_state(state);
}

void ProxyServer::resume_session(const OpenSession& handover, net::SocketPtr downstream,
                                 net::SocketPtr upstream) {
  const auto session =
      std::make_shared<ProxySession>(event_loop_, balancer_, invariants_, handover.open_request);
  if (const auto fault = request_reader_.read(*session, event_loop_.now())) {
    event_loop_.log().write(net::Topic::error, "bad open request in a handover: {}",
                            describe(*fault, session->request()));
    return;
  }
  session->set_id_registration(session_ids_.adopt(session->id()));
  const auto backend = endpoints_.find_or_add_gone(handover.backend);
  downstream_->add_established_client(std::move(downstream), session);
  upstream_.add_established(session, std::move(upstream));
  session->resume(backend, handover.waited);
}

}  // namespace cherryrail::proxy
