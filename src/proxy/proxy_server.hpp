// The relay on sockets: brings clients' sessions to backends as the balancer decides.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "config/relay_config.hpp"
#include "net/event_loop.hpp"
#include "proxy/config_reloader.hpp"
#include "proxy/descriptor_budget.hpp"
#include "proxy/discovery.hpp"
#include "proxy/downstream_listener.hpp"
#include "proxy/endpoint_registry.hpp"
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

// Turns what the connections, discovery and health checks bring into calls on the Balancer, and carries out
// what it asks for. Decides nothing itself. Has to outlive the loop's run.
class ProxyServer final : public BalancerActions {
 public:
  // Throws std::runtime_error if clients cannot connect where the configuration says.
  ProxyServer(net::EventLoop& event_loop, const config::RelayConfig& config);
  ~ProxyServer() override;
  ProxyServer(const ProxyServer&) = delete;
  ProxyServer& operator=(const ProxyServer&) = delete;

  // Calls `callback` once clients are accepted.
  void on_ready(std::function<void()> callback);
  bool is_ready() const { return is_accepting_ && !shutdown_->has_begun(); }
  // Of any traffic class: how long a client waits for its answer at most.
  Micros longest_client_timeout() const;

  // For operators. Whether a list has named that backend or it is disabled; and those, and no others, are
  // disabled from now on.
  bool knows_backend(const std::string& uid) const { return endpoints_.knows(uid); }
  void set_disabled_backends(const std::set<std::string>& uids) { endpoints_.set_disabled(uids); }
  ProxyStatistics statistics() const;
  // Keeps so many more descriptors back from clients.
  void reserve_descriptors(std::size_t count) { descriptors_.reserve(count); }
  void reload(const std::string& path) { config_reloader_.reload(path); }

  // Without a successor: once no more clients are sent here, migrates every session, and stops the loop.
  void begin_graceful_shutdown();

  // To a successor, instead. Accepts nobody any more, and gives what the balancer has learned.
  StateSnapshot export_state();
  // Hands over what can go now; `give` returns whether the successor has got it. True once nothing is left.
  using Give = std::function<bool(const OutgoingHandover&)>;
  bool hand_over(const Give& give);
  void migrate_remaining_sessions();  // what could not be handed over
  void stop_when_empty();

  // From a predecessor. Its descriptors and this process's share one limit.
  void set_descriptors_held_by_peers(std::size_t count) { descriptors_.set_held_by_peers(count); }
  bool can_receive_handover() const { return descriptors_.allows_use_of_reserve(); }
  void receive_handover(IncomingHandover handover);

  // BalancerActions
  Micros now() const override { return event_loop_.now(); }
  Micros wall_clock_step() const override { return event_loop_.wall_clock_step(); }
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
  DownstreamCallbacks downstream_callbacks();
  UpstreamCallbacks upstream_callbacks();
  Micros startup_wait(const config::RelayConfig& config) const;
  void start_accepting();
  void on_endpoint_list(const protocol::EndpointList& list, Micros current_until);
  void on_session_requested(const std::shared_ptr<ProxySession>& session);
  void place(const std::shared_ptr<ProxySession>& session);
  void import_state(StateSnapshot state);
  void resume_session(const OpenSession& handover, net::SocketPtr client, net::SocketPtr server);

  net::EventLoop& event_loop_;
  const config::SiteSettings settings_;
  InvariantMonitor invariants_;
  const bool has_inherited_listener_;  // the clients' listening socket: a successor inherits it, too
  DescriptorBudget descriptors_;
  Discovery discovery_;
  HealthChecker health_checker_;
  UpstreamConnector upstream_;
  Balancer balancer_;
  LoadReportReader load_reports_;
  EndpointRegistry endpoints_;
  UnlistedBackendQueue unlisted_backends_;
  OpenRequestReader request_reader_;
  SessionIdRegistry session_ids_;
  ConfigReloader config_reloader_;
  UnresponsiveSessionMonitor unresponsive_sessions_;
  std::function<void()> on_ready_;
  bool is_accepting_ = false;
  // Made last, when everything that a client needs is there.
  std::unique_ptr<DownstreamListener> downstream_;
  std::unique_ptr<ShutdownSequence> shutdown_;
};

}  // namespace cherryrail::proxy
