#include "proxy/proxy_server.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace cherryrail::proxy {
namespace {

constexpr Micros kSecond = 1'000'000;
// How long a relay that follows another and knows backends waits for an endpoint list of today.
constexpr Micros kFirstListWait = kSecond;
// How long a discovery that all relays share may take for a first line: it works through calls in turn.
constexpr Micros kSharedDiscoveryTimeout = 7 * kSecond / 2;
// The same for the relay's own agent.
constexpr Micros kAgentDiscoveryTimeout = kSecond;

ProxySession& as_proxy_session(Session& session) { return static_cast<ProxySession&>(session); }

// The shortest of any traffic class; a second where none is stated or all are longer.
Micros shortest_attempt_objective(const config::SiteSettings& settings) {
  Micros shortest = kSecond;
  for (const TrafficClass& traffic_class : settings.config.traffic_classes) {
    const Micros objective = traffic_class.attempt_latency_objective;
    if (objective > 0) shortest = std::min(shortest, objective);
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
          config.is_list_pushed ? kAgentDiscoveryTimeout : kSharedDiscoveryTimeout,
          [this](const auto& list, Micros current_until) { on_endpoint_list(list, current_until); },
          [this](Micros ask_again_within) { balancer_.on_discovery_failed(ask_again_within); }),
      health_checker_(event_loop, health_check_config(settings_)),
      upstream_(event_loop, settings_.connect_timeout, upstream_callbacks()),
      balancer_(*this, settings_.config, config.seed), load_reports_(settings_, balancer_),
      endpoints_(event_loop, balancer_, settings_.zone_names),
      unlisted_backends_(event_loop, balancer_, endpoints_), request_reader_(settings_, balancer_),
      config_reloader_(event_loop, config, balancer_, discovery_, descriptors_),
      unresponsive_sessions_(event_loop, upstream_, balancer_, shortest_attempt_objective(settings_)) {
  endpoints_.apply(config.known_endpoints);
  downstream_ =
      std::make_unique<DownstreamListener>(event_loop, listening_socket(config), downstream_callbacks());
  shutdown_ = std::make_unique<ShutdownSequence>(event_loop, *downstream_, has_inherited_listener_,
                                                 longest_client_timeout());
  unresponsive_sessions_.run();
  const Micros wait = startup_wait(config);
  if (wait > 0) {
    event_loop_.call_at(event_loop_.now() + wait, [this] { start_accepting(); });
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

// With an old list, attempts go to backends that have left. But discovery may be down for long, and a relay
// that never accepts serves nobody. Where the relay's own agent has the news already, backends that drain
// count from the first moment; but clients may come at once, and one that waits in the backlog is given no
// more time for it.
Micros ProxyServer::startup_wait(const config::RelayConfig& config) const {
  if (has_inherited_listener_) return kFirstListWait;
  if (!config.is_list_pushed) return 0;
  return std::min(settings_.drain_grace, shortest_attempt_objective(settings_) / 2);
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
  endpoints_.apply(list, current_until);
  unlisted_backends_.on_endpoint_list(list);
  if (endpoints_.size() > 0) start_accepting();
}

Micros ProxyServer::longest_client_timeout() const {
  Micros longest = 0;
  for (const TrafficClass& traffic_class : balancer_.traffic_classes())
    longest = std::max(longest, traffic_class.client_timeout);
  return longest;
}

// ---- A session from its request to its final answer -----------------------------------------------------

void ProxyServer::on_session_requested(const std::shared_ptr<ProxySession>& session) {
  auto fault = request_reader_.read(*session, event_loop_.now());
  if (!fault && !session_ids_.add(session->id(), session, event_loop_.now()))
    fault = SessionRequestFault::duplicate_id;
  if (fault) {
    event_loop_.log().write(net::Topic::error, "bad open request: {}", describe(*fault, session->request()));
    session->refuse("ERR", DownstreamResult::bad_request);
    return;
  }
  // A session needs a second descriptor; with none left, it would be an attempt that cannot be made and a
  // listener that cannot accept. What has not been sent anywhere can be rejected.
  downstream_->free_descriptors();
  if (descriptors_.is_exhausted()) {
    session->refuse("BUSY", DownstreamResult::no_descriptors);
    return;
  }
  place(session);
}

// A client that names the backend where its session was goes there or nowhere.
void ProxyServer::place(const std::shared_ptr<ProxySession>& session) {
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

void ProxyServer::start_attempt(Session& session, Backend& backend, Micros time_limit) {
  upstream_.start_attempt(std::static_pointer_cast<ProxySession>(session.shared_from_this()),
                          as_proxy_backend(backend).address, time_limit,
                          RetryPolicy::connect_timeout_factor(session));
}

void ProxyServer::cancel_attempt(Session& session) { as_proxy_session(session).abandon_attempt(); }

void ProxyServer::reject_session(Session& session, Micros retry_after) {
  as_proxy_session(session).reject(retry_after);
}

void ProxyServer::fail_session(Session& session) { as_proxy_session(session).fail(); }

void ProxyServer::migrate_session(Session& session) { as_proxy_session(session).migrate(); }

// ---- What else the balancer asks for --------------------------------------------------------------------

void ProxyServer::check_health(Backend& backend) {
  const auto target = std::static_pointer_cast<ProxyBackend>(backend.shared_from_this());
  // Where clients hold the rest, health checks would take the last descriptors, and one that finds none would
  // count against its backend. A check that is not made is like one that the backend rejects.
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

// Posted: the balancer asks for it from within its own constructor.
void ProxyServer::watch_endpoints() {
  event_loop_.post([this] { discovery_.ensure_watching(); });
}

void ProxyServer::call_at(Micros when, std::function<void()> then) {
  event_loop_.call_at(when, std::move(then));
}

void ProxyServer::log(const std::string& line) { event_loop_.log().write(net::Topic::balancer, "{}", line); }

ProxyStatistics ProxyServer::statistics() const {
  return {downstream_->result_counts(),  upstream_.result_counts(), invariants_,
          downstream_->session_count(),  event_loop_.watch_count(), event_loop_.wall_clock_step(),
          event_loop_.log().lost_lines()};
}

// ---- Shutdown and hot restart ---------------------------------------------------------------------------

void ProxyServer::begin_graceful_shutdown() {
  if (shutdown_->has_begun()) return;
  // Clients may have connected already. A socket that the platform holds keeps them for the next process.
  if (!has_inherited_listener_) start_accepting();
  shutdown_->begin();
  event_loop_.log().write(net::Topic::lifecycle, "shutting down: {} sessions to migrate",
                          downstream_->session_count());
  shutdown_->call_once_clients_stay_away([this] {
    balancer_.begin_graceful_shutdown();
    stop_when_empty();
  });
}

// Clients accepted now could be served for a moment only; the successor has them for good.
StateSnapshot ProxyServer::export_state() {
  shutdown_->begin();
  event_loop_.log().write(net::Topic::lifecycle, "shutting down: {} sessions to hand over",
                          downstream_->session_count());
  downstream_->set_accepting(false);
  StateSnapshot state = balancer_.export_state();
  state.clock_origin = event_loop_.clock_origin();
  return state;
}

bool ProxyServer::hand_over(const Give& give) {
  downstream_->hand_over(give);
  return downstream_->is_empty();
}

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
  net::SocketPtr client = net::adopt_socket(handover.downstream.release());
  if (const auto* pending = std::get_if<PendingClient>(&handover.message)) {
    downstream_->add_pending_client(std::move(client), pending->received, pending->waited);
    return;
  }
  net::SocketPtr server = net::adopt_socket(handover.upstream.release());
  resume_session(std::get<OpenSession>(handover.message), std::move(client), std::move(server));
}

// The wall clock may have been stepped between the starts of the two processes, by which each dates its
// times.
void ProxyServer::import_state(StateSnapshot state) {
  if (state.clock_origin > 0) shift_times(state, event_loop_.clock_origin() - state.clock_origin);
  balancer_.import_state(state);
}

void ProxyServer::resume_session(const OpenSession& handover, net::SocketPtr client, net::SocketPtr server) {
  const auto session =
      std::make_shared<ProxySession>(event_loop_, balancer_, invariants_, handover.open_request);
  if (const auto fault = request_reader_.read(*session, event_loop_.now())) {
    event_loop_.log().write(net::Topic::error, "bad open request in a handover: {}",
                            describe(*fault, session->request()));
    return;
  }
  session_ids_.add(session->id(), session, event_loop_.now());
  const auto backend = endpoints_.find_or_add_gone(handover.backend);
  downstream_->add_established_client(std::move(client), session);
  upstream_.add_established(session, std::move(server));
  session->resume(backend, handover.waited);
}

}  // namespace cherryrail::proxy
