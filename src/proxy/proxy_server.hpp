// The module's door on sockets: turns what the two sides, discovery and probes bring into calls on the
// Balancer, and carries out what it asks. Decides nothing.
#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "config/relay_config.hpp"
#include "net/event_loop.hpp"
#include "proxy/discovery.hpp"
#include "proxy/downstream.hpp"
#include "proxy/health_checker.hpp"
#include "proxy/upstream.hpp"

namespace cherryrail::proxy {

class ProxyServer final : public BalancerActions {
 public:
  ProxyServer(net::EventLoop& event_loop, const config::RelayConfig& start);
  ~ProxyServer() override;
  // AdminServer `then` once clients can be placed, and takes them in from then on.
  void on_ready(std::function<void()> then);
  bool is_ready() const { return ready_ && !leaving_; }
  // Once no more are sent here, moves every client, answers those that come all the same, and quits the loop.
  void begin_graceful_shutdown();
  // Instead: takes nobody in any more, for another process does, and gives that process what it holds as far
  // as that can go now. True once nothing is left.
  using Give = std::function<bool(const OutgoingHandover&)>;
  StateSnapshot export_state();
  bool hand_over(const Give& give);
  void migrate_remaining_sessions();  // what could not be given
  // What another process has handed over; the sockets are closed with what comes of it.
  void receive_handover(IncomingHandover handover);
  void set_descriptors_held_by_peers(std::size_t sockets) { others_hold_ = sockets; }  // of the same limit
  bool can_receive_handover() const;  // there are descriptors for one more
  void stop_when_empty();
  Micros longest_client_timeout() const;
  // Whether operators may speak of that backend: the list has named it, or it is banned.
  bool knows_backend(const std::string& uid) const {
    return backends_.contains(uid) || banned_.contains(uid);
  }
  // Those, and no others, are left out from now on.
  void set_disabled_backends(const std::set<std::string>& uids);
  // More descriptors than the usual are kept back: for operators.
  void reserve_descriptors(std::size_t sockets) {
    kept_back_ = std::min(kept_back_ + sockets, most_kept_back(sockets_));
  }
  // Reads the configuration again and takes what may change under way: where discovery is and how many
  // descriptors there are. One that cannot be used leaves the old one in force.
  void reload(const std::string& path);

  Micros now() const override { return event_loop_.now(); }
  void start_attempt(Session& session, Backend& backend, Micros time_limit) override;
  void cancel_attempt(Session& session) override;
  void reject_session(Session& session, Micros retry_after) override;
  void fail_session(Session& session) override;
  void migrate_session(Session& session) override;
  void check_health(Backend& backend) override;
  void watch_endpoints() override;
  void call_at(Micros when, std::function<void()> then) override {
    event_loop_.call_at(when, std::move(then));
  }
  void log(const std::string& line) override { event_loop_.log().write(net::Topic::balancer, "{}", line); }

 private:
  struct Endpoint;

  void take(const std::shared_ptr<ProxySession>& session);
  void resume_session(const OpenSession& handed, net::SocketPtr client, net::SocketPtr server);
  const char* read_tunnel(ProxySession& session);
  const char* fault_of(ProxySession& session);  // of its first line, null if it can be served
  // Danger: with all that is usually kept back, the smallest limit would leave nothing for clients.
  static std::size_t most_kept_back(std::size_t sockets) { return 5 * sockets / 8; }
  bool full() const;  // descriptors run short
  bool id_known(const std::shared_ptr<ProxySession>& session);
  void on_endpoint_list(const protocol::EndpointList& list);
  const std::shared_ptr<Endpoint>& endpoint(const std::string& uid);  // made where it is not known yet
  void serve();
  void told(ProxySession& session, double figure);
  void look_for_silence();
  void look_whether_empty(Micros empty_since);
  LoadReport read_report(std::string_view text) const;
  unsigned zone_of(const std::string& name);

  net::EventLoop& event_loop_;
  std::string listen_;
  config::FlatSettings flat_settings_;
  config::SiteSettings settings_;
  std::size_t sockets_, kept_back_, others_hold_ = 0;
  std::map<std::string, std::shared_ptr<Endpoint>, std::less<>> backends_;  // by uid
  std::vector<std::string> zones_;
  using Ids = std::map<std::string, std::weak_ptr<ProxySession>, std::less<>>;
  Ids ids_;
  std::deque<std::pair<Micros, Ids::iterator>> ids_by_age_;  // when to look at each next
  std::set<std::string> banned_;                             // by operators; some may be on no list
  bool ready_ = false, leaving_ = false;
  const bool inherited_;  // the clients' listening socket: another process has it after this one
  Micros told_to_end_ = 0;
  std::function<void()> on_ready_;
  Discovery discovery_;
  HealthChecker probes_;
  UpstreamConnector servers_;
  std::unique_ptr<Balancer> balancer_;
  std::unique_ptr<DownstreamListener> clients_;  // last: clients come once all else stands
};

}  // namespace cherryrail::proxy
