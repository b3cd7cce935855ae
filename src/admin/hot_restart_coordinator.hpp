// The hot restart of a relay: a process takes over from the one before it and hands over to the one after.
#pragma once

#include <cstddef>
#include <list>
#include <memory>
#include <optional>
#include <vector>

#include "admin/disabled_backends_sync.hpp"
#include "admin/handover_channel.hpp"
#include "admin/hot_restart_socket.hpp"
#include "config/relay_config.hpp"
#include "net/event_loop.hpp"
#include "proxy/proxy_server.hpp"

namespace cherryrail::admin {

// Announces this process once its proxy is ready, takes in what a predecessor hands over, and at the end
// hands the proxy's sessions to a successor. While two processes run, each counts the other's descriptors,
// since the limit on them is one for both.
class HotRestartCoordinator {
 public:
  // Hot restart works only where the clients' listening socket is inherited; otherwise shut_down() is all
  // that does anything.
  HotRestartCoordinator(net::EventLoop& event_loop, proxy::ProxyServer& proxy,
                        DisabledBackendsSync& disabled_backends, const config::RelayConfig& relay_config);
  ~HotRestartCoordinator();
  HotRestartCoordinator(const HotRestartCoordinator&) = delete;
  HotRestartCoordinator& operator=(const HotRestartCoordinator&) = delete;
  HotRestartCoordinator(HotRestartCoordinator&&) = delete;
  HotRestartCoordinator& operator=(HotRestartCoordinator&&) = delete;

  // Hands over to the successor, or lets the proxy shut down by itself if there is none. Later calls do
  // nothing.
  void shut_down();

 private:
  struct Peer;

  void announce();
  void accept_predecessor();
  void add_peer(HandoverChannel channel);
  void receive_from(Peer& peer);
  void pause_receiving(const Peer& peer);
  void resume_receiving();
  void take_in(proxy::IncomingHandover handover);
  void remove_peer(const Peer& peer);
  void count_peer_descriptors();
  void watch_peer_descriptors();
  void collect_state();
  SendResult hand_over_state();
  void hand_over_until(Micros deadline);

  net::EventLoop& event_loop_;
  proxy::ProxyServer& proxy_;
  DisabledBackendsSync& disabled_backends_;
  HotRestartSocket socket_;
  std::optional<HandoverChannel> successor_;   // that sessions are handed over to
  std::vector<proxy::HandoverMessage> state_;  // goes before the sessions
  std::size_t sent_state_count_ = 0;           // messages of it that this successor has
  bool is_shutting_down_ = false;
  std::unique_ptr<net::IoWatch> announcement_watch_;
  std::list<std::shared_ptr<Peer>> peers_;  // the processes before and after this one
  bool is_watching_peers_ = false;
};

// How many descriptors a process has open; 0 if that cannot be told.
std::size_t count_open_descriptors(int process);

}  // namespace cherryrail::admin
