// The relay's proxy: forwards clients' sessions over sockets to the backends that the balancer chooses.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "config/relay_config.hpp"
#include "net/event_loop.hpp"
#include "net/timer.hpp"
#include "proxy/config_reloader.hpp"
#include "proxy/descriptor_budget.hpp"
#include "proxy/discovery.hpp"
#include "proxy/downstream_listener.hpp"
#include "proxy/endpoint_registry.hpp"
#include "proxy/endpoint_snapshot.hpp"
#include "proxy/health_checker.hpp"
#include "proxy/load_report_reader.hpp"
#include "proxy/open_request_reader.hpp"
#include "proxy/proxy_statistics.hpp"
#include "proxy/session_id_registry.hpp"
#include "proxy/shutdown_sequence.hpp"
#include "proxy/unlisted_backend_queue.hpp"
#include "proxy/unresponsive_session_monitor.hpp"
#include "proxy/upstream_connector.hpp"

namespace cherryrail::proxy {

// Passes events of the connections, discovery and health checks to the Balancer, and carries out the actions
// that the Balancer requests. Makes no balancing decision itself. Must outlive the run of the event loop.
class ProxyServer final : public BalancerActions {
 public:
  // Throws std::runtime_error if the listening address of the configuration cannot be used.
  ProxyServer(net::EventLoop& event_loop, const config::RelayConfig& config);
  ~ProxyServer() override;
  ProxyServer(const ProxyServer&) = delete;
  ProxyServer& operator=(const ProxyServer&) = delete;

  // Calls `callback` once the proxy accepts clients.
  void on_ready(std::function<void()> callback);
  bool is_ready() const { return is_accepting_ && !shutdown_->has_begun(); }

  // For operators: whether an endpoint list has named the backend or an operator has disabled it.
  bool knows_backend(const std::string& uid) const { return endpoints_.knows(uid); }
  // For operators: disables exactly these backends, and enables all others.
  void set_disabled_backends(const std::set<std::string>& uids) { endpoints_.set_disabled(uids); }
  ProxyStatistics statistics() const;
  // Withholds `count` more descriptors from clients.
  void reserve_descriptors(std::size_t count) { descriptors_.reserve(count); }
  // Reads the configuration file again; see ConfigReloader::reload().
  void reload(const std::string& path) { config_reloader_.reload(path); }

  // Shutdown without a successor: waits until clients are no longer routed to this relay, migrates every
  // session, and stops the event loop.
  void begin_graceful_shutdown();

  // Hot restart, on the predecessor's side: stops accepting clients, and returns the balancer's state.
  StateSnapshot export_state();
  // Hands over the connections that can be handed over now; `send` returns whether the successor has received
  // the message. Returns true once no connection is left.
  using SendHandover = std::function<bool(const OutgoingHandover&)>;
  bool hand_over(const SendHandover& send);
  // Until when hand_over() may be tried again, counted from export_state().
  Micros handover_deadline() const;
  // Migrates the sessions that could not be handed over, and stops the event loop.
  void migrate_remaining_sessions();
  // Stops the event loop once no session is left, or at the shutdown timeout.
  void stop_when_empty();

  // Hot restart, on the successor's side. The descriptors of both processes count against one limit.
  void set_descriptors_held_by_peers(std::size_t count) { descriptors_.set_held_by_peers(count); }
  bool can_receive_handover() const { return descriptors_.allows_use_of_reserve(); }
  void receive_handover(IncomingHandover handover);

  // What this process has been told of its backends, for the relay's other processes. `callback` is called
  // after each change of the list by discovery.
  EndpointSnapshot endpoint_snapshot() const {
    return {endpoint_record_.complete_list(), discovery_.highest_version()};
  }
  std::int64_t endpoint_list_version() const { return discovery_.version(); }
  void on_endpoints_changed(std::function<void()> callback) { on_endpoints_changed_ = std::move(callback); }
  // Applies what another process of this relay has been told, unless this process knows a newer list. Returns
  // whether it was applied.
  bool adopt_endpoints(const EndpointSnapshot& snapshot);

  // Hot restart, on both sides: no request may be sent by both processes. See SessionIdRegistry.
  void on_session_id_claimed(SessionIdRegistry::OnClaim callback) {
    session_ids_.on_claim(std::move(callback));
  }
  std::vector<std::uint64_t> claimed_session_ids() const { return session_ids_.claimed_ids(); }

  // BalancerActions
  Micros now() const override { return event_loop_.now(); }
  Micros wall_clock_step() const override { return event_loop_.wall_clock_step(); }
  void start_attempt(Session& session, Backend& backend, Micros timeout) override;
  void cancel_attempt(Session& session) override;
  void reject_session(Session& session, Micros retry_after) override;
  void fail_session(Session& session) override;
  void migrate_session(Session& session) override;
  void check_health(Backend& backend) override;
  void watch_endpoints() override;
  TimerId call_at(Micros when, std::function<void()> then) override;
  void cancel_call(const TimerId& timer) override { event_loop_.cancel_call(timer); }
  void log(const std::string& line) override;

 private:
  DownstreamCallbacks downstream_callbacks();
  UpstreamCallbacks upstream_callbacks();
  Micros startup_wait(const config::RelayConfig& config) const;
  // The longest time that a client of any traffic class waits for its answer.
  Micros longest_client_timeout() const;
  void start_accepting();
  void on_endpoint_list(const protocol::EndpointList& list, Micros current_until);
  // Returns whether the list has changed anything.
  bool apply_endpoints(const protocol::EndpointList& list, Micros current_until);
  void on_session_requested(const std::shared_ptr<ProxySession>& session);
  // Returns false if another session uses the id.
  bool register_id(ProxySession& session);
  void admit(const std::shared_ptr<ProxySession>& session);
  void import_state(StateSnapshot state);
  void resume_session(const OpenSession& handover, net::SocketPtr downstream, net::SocketPtr upstream);

  net::EventLoop& event_loop_;
  const config::SiteSettings settings_;
  InvariantMonitor invariants_;
  const bool has_inherited_listener_;  // the downstream listening socket, which a successor inherits, too
  DescriptorBudget descriptors_;
  Discovery discovery_;
  HealthChecker health_checker_;
  UpstreamConnector upstream_;
  Balancer balancer_;
  LoadReportReader load_reports_;
  EndpointRegistry endpoints_;
  EndpointListRecord endpoint_record_;
  std::function<void()> on_endpoints_changed_;
  UnlistedBackendQueue unlisted_backends_;
  OpenRequestReader request_reader_;
  SessionIdRegistry session_ids_;
  ConfigReloader config_reloader_;
  UnresponsiveSessionMonitor unresponsive_sessions_;
  std::function<void()> on_ready_;
  net::Timer startup_timer_;
  bool is_accepting_ = false;
  // Created last, once everything that serves clients exists.
  std::unique_ptr<DownstreamListener> downstream_;
  std::unique_ptr<ShutdownSequence> shutdown_;
};

}  // namespace cherryrail::proxy
