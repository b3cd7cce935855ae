#include "proxy/proxy_server.hpp"

#include <algorithm>
#include <set>
#include <utility>

#include "config/descriptor_limit.hpp"
#include "config/milliseconds.hpp"
#include "protocol/open_request.hpp"
#include "protocol/text_fields.hpp"

namespace cherryrail::proxy {
namespace {

// For discovery, probes, operators, setups of clients already heard, and what the loop itself needs.
constexpr std::size_t kSpareSockets = 24;
constexpr Micros kSecond = 1'000'000;
constexpr Micros kFirstList = kSecond;               // so long a relay that knows backends waits for news
constexpr Micros kFirstLine = 7 * kSecond / 2;       // a service that all share works through calls in turn
constexpr Micros kIdKept = 5 * kSecond;              // after its tunnel's end
constexpr Micros kStillComing = 45 * kSecond / 100;  // so long clients come after the relay is told to end
constexpr Micros kAnswerMargin = kSecond / 50;       // before a client stops waiting
constexpr Micros kLongestWait = 3 * kSecond;         // of a client, as far as the platform waits for the end
constexpr Micros kLastCall = kSecond / 2;            // after that wait, what is left hears the end
constexpr Micros kLastWords = kSecond / 10;          // to go out, and a torn line to end
constexpr Micros kEmptyFor = kSecond / 4;            // before the end: what was told last must be read

ProxySession& exchange_of(Session& session) { return static_cast<ProxySession&>(session); }

Micros shortest_goal(const config::SiteSettings& settings) {
  Micros least = kSecond;
  for (const TrafficClass& traffic_class : settings.config.traffic_classes) {
    if (traffic_class.attempt_latency_objective > 0)
      least = std::min(least, traffic_class.attempt_latency_objective);
  }
  return least;
}

}  // namespace

struct ProxyServer::Endpoint final : Backend {
  std::string uid;
  net::Address address;
};

ProxyServer::ProxyServer(net::EventLoop& event_loop, const config::RelayConfig& start)
    : event_loop_(event_loop), listen_(start.listen), flat_settings_(start.flat_settings),
      settings_(start.settings), sockets_(start.descriptor_limit),
      kept_back_(std::min(kSpareSockets, most_kept_back(start.descriptor_limit))),
      zones_(start.settings.zone_names), inherited_(start.inherited_listener.has_value()),
      discovery_(
          event_loop, start.discovery, start.known_endpoints.version,
          start.is_list_pushed ? kSecond : kFirstLine,
          [this](const protocol::EndpointList& list) {
            on_endpoint_list(list);
            if (!backends_.empty()) serve();
          },
          [this](Micros most) { balancer_->on_discovery_failed(most); }),
      probes_(event_loop, start.settings.reports_on_health_check ? "STATS" : "PING",
              start.settings.connect_timeout,
              std::max(start.settings.connect_timeout, shortest_goal(start.settings) / 2),
              start.settings.idle_timeout),
      servers_(
          event_loop, start.settings.connect_timeout,
          [this](std::string_view text) { return read_report(text); },
          [this](ProxySession& session, double figure) { told(session, figure); }) {
  balancer_ = std::make_unique<Balancer>(*this, settings_.config, start.seed);
  on_endpoint_list(start.known_endpoints);
  clients_ = std::make_unique<DownstreamListener>(
      event_loop,
      start.inherited_listener ? net::adopt_socket(*start.inherited_listener)
                               : net::create_listening_socket(start.listen_address),
      [this](std::string_view line) { return std::make_shared<ProxySession>(event_loop_, *balancer_, line); },
      [this](const std::shared_ptr<ProxySession>& session) { take(session); }, [this] { return full(); });
  look_for_silence();
  // Danger: with an old list, setups go to backends that have left. But discovery may be down for long, and a
  // relay that never begins serves nobody.
  // Where its agent has the news already, they count as told from the first moment; but clients may come at
  // once, and whoever waits in the backlog gets no more time for it.
  const Micros for_news = inherited_ ? kFirstList
                          : start.is_list_pushed
                              ? std::min(settings_.drain_grace, shortest_goal(settings_) / 2)
                              : 0;
  if (for_news > 0)
    event_loop_.call_at(event_loop_.now() + for_news, [this] { serve(); });
  else
    serve();
  event_loop_.log().write(net::Topic::lifecycle, "{} started, {} backends known", start.name,
                          backends_.size());
}

ProxyServer::~ProxyServer() = default;

void ProxyServer::on_ready(std::function<void()> then) {
  on_ready_ = std::move(then);
  if (ready_) event_loop_.post(on_ready_);
}

void ProxyServer::serve() {
  if (ready_ || leaving_) return;
  ready_ = true;
  clients_->take_in(true);
  if (on_ready_) on_ready_();
}

void ProxyServer::begin_graceful_shutdown() {
  if (std::exchange(leaving_, true)) return;
  told_to_end_ = event_loop_.now();
  event_loop_.log().write(net::Topic::lifecycle, "shutting down: {} sessions to migrate",
                          clients_->tunnels());
  // Danger: while clients are still sent here, one that is moved at once may come straight back and be
  // declined.
  event_loop_.call_at(event_loop_.now() + kStillComing, [this] {
    balancer_->begin_graceful_shutdown();
    stop_when_empty();
  });
}

// Danger: what this process takes in now it can serve for a moment only; the next one has it for good.
StateSnapshot ProxyServer::export_state() {
  leaving_ = true;
  told_to_end_ = event_loop_.now();
  event_loop_.log().write(net::Topic::lifecycle, "shutting down: {} sessions to hand over",
                          clients_->tunnels());
  clients_->take_in(false);
  return balancer_->export_state();
}

bool ProxyServer::hand_over(const Give& give) {
  clients_->hand_over([&give](OutgoingHandover handover, const ProxySession* session) {
    if (auto* handed = std::get_if<OpenSession>(&handover.message))
      handed->backend = static_cast<const Endpoint&>(*session->backend).uid;
    return give(handover);
  });
  return clients_->empty();
}

void ProxyServer::migrate_remaining_sessions() {
  event_loop_.log().write(net::Topic::lifecycle, "{} sessions could not be handed over: migrating them",
                          clients_->tunnels());
  balancer_->begin_graceful_shutdown(0);
  stop_when_empty();
}

Micros ProxyServer::longest_client_timeout() const {
  Micros longest = 0;
  for (const TrafficClass& traffic_class : balancer_->traffic_classes())
    longest = std::max(longest, traffic_class.client_timeout);
  return longest;
}

void ProxyServer::receive_handover(IncomingHandover handover) {
  if (const auto* state = std::get_if<StateSnapshot>(&handover.message))
    return balancer_->import_state(*state);
  net::SocketPtr client = net::adopt_socket(handover.downstream.release());
  if (const auto* pending = std::get_if<PendingClient>(&handover.message))
    return clients_->come(std::move(client), pending->received, pending->waited);
  net::SocketPtr server = net::adopt_socket(handover.upstream.release());
  resume_session(std::get<OpenSession>(handover.message), std::move(client), std::move(server));
}

void ProxyServer::resume_session(const OpenSession& handed, net::SocketPtr client, net::SocketPtr server) {
  const auto session = std::make_shared<ProxySession>(event_loop_, *balancer_, handed.open_request);
  if (const char* fault = fault_of(*session))
    return event_loop_.log().write(net::Topic::error, "bad open request in a handover: {}", fault);
  id_known(session);
  const bool listed = backends_.contains(handed.backend);
  const auto& backend = endpoint(handed.backend);
  if (!listed)
    balancer_->update_endpoint(backend, EndpointState::gone, 1,
                               0);  // it has left: its tunnels are to be moved
  clients_->stands(std::move(client), session);
  servers_.stands(session, std::move(server));
  session->stands_at(backend, handed.waited);
}

// Danger: half a file, or one with a wrong value, must not end the process or be taken in part.
void ProxyServer::reload(const std::string& path) {
  try {
    const config::RelayConfig fresh = config::read_relay_config(path);
    if (fresh.listen != listen_)
      throw config::ConfigError(config::ConfigSource::file, {"listen", fresh.listen},
                                "cannot change while the relay runs");
    sockets_ = config::raise_descriptor_limit(fresh.descriptor_limit);
    balancer_->on_endpoints_updated();  // what failed at the old place says nothing of the new one
    discovery_.move_to(fresh.discovery);
    event_loop_.log().write(
        net::Topic::lifecycle, "configuration reloaded{}",
        fresh.flat_settings == flat_settings_ ? "" : "; its settings differ and apply from the next start");
  } catch (const config::ConfigError& fault) {
    event_loop_.log().write(net::Topic::error, "configuration not reloaded: {}", fault.what());
  }
}

void ProxyServer::look_whether_empty(Micros empty_since) {
  event_loop_.call_at(event_loop_.now() + kEmptyFor / 10, [this, empty_since] {
    // Danger: the platform waits for no client that is slow, for no backend that hangs and for no mover.
    const Micros now = event_loop_.now(),
                 last = told_to_end_ + std::min(longest_client_timeout(), kLongestWait) + kLastCall;
    const bool busy = clients_->tunnels() > 0 || clients_->awaits_lines();
    if (now < last && busy) return look_whether_empty(now);
    if (now < last && now - empty_since < kEmptyFor) return look_whether_empty(empty_since);
    clients_->last_call(!inherited_);
    event_loop_.call_at(now + kLastWords, [this] {
      event_loop_.log().write(net::Topic::lifecycle, "stopping: {}",
                              clients_->tunnels() > 0 ? "shutdown timeout" : "no session left");
      event_loop_.quit();
    });
  });
}

// Danger: the clients of a relay that is replaced are served already; the spare descriptors are for new ones.
bool ProxyServer::can_receive_handover() const {
  return event_loop_.watch_count() + others_hold_ + kept_back_ / 2 <= sockets_;
}

void ProxyServer::stop_when_empty() { look_whether_empty(event_loop_.now()); }

bool ProxyServer::full() const { return event_loop_.watch_count() + others_hold_ + kept_back_ > sockets_; }

void ProxyServer::set_disabled_backends(const std::set<std::string>& uids) {
  const auto before = std::exchange(banned_, uids);
  for (const auto& [uid, backend] : backends_) {
    if (before.contains(uid) != uids.contains(uid)) balancer_->set_disabled(*backend, uids.contains(uid));
  }
}

// ---- What comes in --------------------------------------------------------------------------------------

void ProxyServer::take(const std::shared_ptr<ProxySession>& session) {
  const char* fault = fault_of(*session);
  if (!fault && id_known(session)) fault = "its id is another's";
  if (fault) {
    event_loop_.log().write(net::Topic::error, "bad open request: {}", fault);
    return session->client->finish("ERR", "bad_request");
  }
  // Danger: a tunnel needs a second descriptor; with none left, it would be a setup that cannot be made and
  // a listener that cannot accept. What has not been sent anywhere can be declined.
  clients_->make_room();
  if (full()) return session->client->finish("BUSY", "no_descriptors");
  // Danger: one that has been told to leave since gets nothing new, what stood there before not excepted.
  const auto stood_at = backends_.find(session->head.value("at"));
  if (stood_at == backends_.end() || !balancer_->may_still_send(*session, *stood_at->second))
    return balancer_->admit(session);
  session->stood_at = stood_at->second;
  servers_.start(session, stood_at->second->address, session->deadline - event_loop_.now() - kAnswerMargin);
}

// Danger: the id of another's open tunnel. Every backend refuses it, and each refusal would speak against one
// that is sound. An id is new with every connection, so it is known for a while after its end, too.
bool ProxyServer::id_known(const std::shared_ptr<ProxySession>& session) {
  for (const Micros now = event_loop_.now(); !ids_by_age_.empty() && ids_by_age_.front().first <= now;) {
    const auto oldest = ids_by_age_.front().second;
    ids_by_age_.pop_front();
    if (oldest->second.expired())
      ids_.erase(oldest);
    else
      ids_by_age_.emplace_back(now + kIdKept, oldest);
  }
  const auto [at, fresh] = ids_.try_emplace(std::string(session->head.id()), session);
  if (fresh) ids_by_age_.emplace_back(event_loop_.now() + kIdKept, at);
  return !fresh;
}

const char* ProxyServer::fault_of(ProxySession& session) {
  if (const auto fault = session.head.fault()) return protocol::describe(*fault);
  return read_tunnel(session);
}

const char* ProxyServer::read_tunnel(ProxySession& session) {
  const auto named = [](const std::vector<std::string>& names, std::string_view name) {
    return static_cast<std::size_t>(std::find(names.begin(), names.end(), name) - names.begin());
  };
  const std::size_t traffic_class = named(settings_.traffic_class_names, session.head.value("c"));
  if (traffic_class >= balancer_->traffic_classes().size()) return "its class is not known";
  session.traffic_class = &balancer_->traffic_classes()[traffic_class];
  const auto wait = protocol::parse_number(session.head.value("d"));
  if (!wait || *wait <= 0 || *wait > 1e9) return "it does not tell how long the client waits";
  session.deadline = event_loop_.now() + config::micros_from_milliseconds(*wait);
  session.client_key = session.head.flow_key();
  const std::uint64_t key = protocol::parse_key(session.head.value("g"));
  if (settings_.keys_name_groups)
    session.group_key = key;
  else if (key)
    session.client_key = key;
  if (const auto hint = protocol::parse_number(session.head.value("h")); hint && *hint > 0 && *hint < 1e12)
    session.load_hint = *hint * 1000;
  for (const char* name : {"t", "tenant", "realm"}) {
    if (const std::string_view tenant = session.head.value(name); !tenant.empty())
      session.tenant = named(settings_.tenant_names, tenant);
  }
  session.is_reconnecting = session.head.value("r") == "1" || session.head.value("again") == "1";
  return nullptr;
}

unsigned ProxyServer::zone_of(const std::string& name) {
  const auto found = std::find(zones_.begin(), zones_.end(), name);
  const auto zone = static_cast<unsigned>(found - zones_.begin());
  if (found == zones_.end()) zones_.push_back(name);
  return zone;
}

const std::shared_ptr<ProxyServer::Endpoint>& ProxyServer::endpoint(const std::string& uid) {
  auto& backend = backends_[uid];
  if (backend) return backend;
  backend = std::make_shared<Endpoint>();
  backend->uid = uid;
  backend->name = protocol::parse_key("uid " + uid);  // hashed as a text: the same at every relay
  backend->disabled_by_operator = banned_.contains(uid);
  return backend;
}

void ProxyServer::on_endpoint_list(const protocol::EndpointList& list) {
  if (list.skipped_entries > 0)
    event_loop_.log().write(net::Topic::discovery, "{} endpoints in an unknown state skipped",
                            list.skipped_entries);
  std::set<std::string_view> named;
  for (const protocol::EndpointEntry& entry : list.entries) {
    named.insert(entry.uid);
    const auto& backend = endpoint(entry.uid);
    if (const net::Address address = net::parse_address(entry.address)) backend->address = address;
    backend->zone = zone_of(entry.zone);
    backend->cell = entry.cell;
    event_loop_.log().write(net::Topic::discovery, "backend {} is {}: {}", backend->name, entry.uid,
                            entry.state == EndpointState::ready      ? "ready"
                            : entry.state == EndpointState::draining ? "draining"
                                                                     : "gone");
    balancer_->update_endpoint(backend, entry.state, entry.capacity_hint, entry.started_at);
  }
  if (list.is_complete && list.skipped_entries == 0) {  // what a whole list leaves out has been removed
    for (const auto& [uid, backend] : backends_) {
      if (!named.contains(uid))
        balancer_->update_endpoint(backend, EndpointState::gone, backend->size, backend->reported_started_at);
    }
  }
  balancer_->on_endpoints_updated();
}

LoadReport ProxyServer::read_report(std::string_view text) const {
  LoadReport report;
  for (const std::string_view field : {"util", "busy", "x0"}) {
    if (const auto value = protocol::find_report_field(text, field); value && *value >= 0 && *value < 1e6)
      report.reported_utilization = *value;
  }
  return report;
}

// Danger: where no loads are told, the figure of a LOAD line is the milliseconds that a message takes there;
// taken for a load, it upsets every count of load and hides that the backend is strained.
void ProxyServer::told(ProxySession& session, double figure) {
  if (!(figure >= 0 && figure < 1e12)) return;
  if (settings_.is_session_load_reported)
    balancer_->on_load_reported(session, figure);
  else if (settings_.is_message_latency_reported)
    balancer_->on_message_latency_reported(session, config::micros_from_milliseconds(figure));
}

// A backend that goes silent breaks nothing, nor does a tunnel that stops short: its client's lines just
// bring nothing back. Danger: all the while the client is served nothing. A sound connection brings a line
// back at once, however laden the backend is, so two setup goals are long enough to wait.
void ProxyServer::look_for_silence() {
  const Micros goal = shortest_goal(settings_);
  servers_.silent_for(2 * goal,
                      [this](ProxySession& session) { balancer_->on_session_unresponsive(session); });
  event_loop_.call_at(event_loop_.now() + goal / 2, [this] { look_for_silence(); });
}

// ---- What goes out --------------------------------------------------------------------------------------

void ProxyServer::start_attempt(Session& session, Backend& backend, Micros time_limit) {
  servers_.start(std::static_pointer_cast<ProxySession>(session.shared_from_this()),
                 static_cast<Endpoint&>(backend).address, time_limit);
}

void ProxyServer::cancel_attempt(Session& session) { exchange_of(session).abandon(); }
void ProxyServer::reject_session(Session& session, Micros retry_after) {
  exchange_of(session).decline(retry_after);
}
void ProxyServer::fail_session(Session& session) { exchange_of(session).fail_session(); }
void ProxyServer::migrate_session(Session& session) { exchange_of(session).move(); }

void ProxyServer::check_health(Backend& backend) {
  const auto target = std::static_pointer_cast<Endpoint>(backend.shared_from_this());
  // Danger: where clients hold the rest, probes take the last descriptors, and a look that finds none would
  // speak against its backend. None made is as one turned away.
  if (!can_receive_handover())
    return event_loop_.post([this, target] {
      balancer_->on_health_check_ended(*target, {AttemptResult::rejected, 0}, {});
    });
  probes_.look(target->uid, target->address,
               [this, target](const AttemptOutcome& outcome, std::string_view report) {
                 balancer_->on_health_check_ended(*target, outcome, read_report(report));
               });
}

// Asked for soon, not now: the module asks from within its own making.
void ProxyServer::watch_endpoints() {
  event_loop_.post([this] { discovery_.ensure_watching(); });
}

}  // namespace cherryrail::proxy
