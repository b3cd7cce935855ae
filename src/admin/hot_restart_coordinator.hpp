// Hot restart of a relay: a process takes over from its predecessor, and later hands over to its successor.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "admin/disabled_backends_sync.hpp"
#include "admin/endpoint_snapshot_sync.hpp"
#include "admin/handover_channel.hpp"
#include "admin/hot_restart_socket.hpp"
#include "config/relay_config.hpp"
#include "net/event_loop.hpp"
#include "net/timer.hpp"
#include "proxy/proxy_server.hpp"

namespace cherryrail::admin {

// Announces this process once its proxy is ready, receives the handover of a predecessor, and at the end
// hands the proxy's sessions over to a successor. While two processes run, each counts the other's
// descriptors, since both share one descriptor limit, and tells the other the session ids that it claims,
// since no request may be sent twice, and which endpoint list it has, since a backend that one process knows
// to drain gets nothing new from the other.
class HotRestartCoordinator {
 public:
  // Hot restart requires an inherited listening socket; without one, only shut_down() has an effect.
  HotRestartCoordinator(net::EventLoop& event_loop, proxy::ProxyServer& proxy,
                        DisabledBackendsSync& disabled_backends, EndpointSnapshotSync& endpoint_snapshots,
                        const config::RelayConfig& relay_config);
  ~HotRestartCoordinator();
  HotRestartCoordinator(const HotRestartCoordinator&) = delete;
  HotRestartCoordinator& operator=(const HotRestartCoordinator&) = delete;
  HotRestartCoordinator(HotRestartCoordinator&&) = delete;
  HotRestartCoordinator& operator=(HotRestartCoordinator&&) = delete;

  // Hands over to the successor; without a successor, shuts the proxy down gracefully. Later calls have no
  // effect.
  void shut_down();

 private:
  struct Peer;
  using PeerPtr = std::shared_ptr<Peer>;

  void announce();
  void accept_predecessor();
  PeerPtr add_peer(HandoverChannel channel);
  void connect_to_successor();
  void receive_from(Peer& peer);
  void receive_messages(Peer& peer);
  void pause_receiving(const Peer& peer);
  void resume_receiving();
  void handle_handover(Peer& peer, proxy::IncomingHandover handover);
  void receive_endpoints(Peer& peer, const proxy::EndpointSnapshotPart& part);
  void remove_peer(const Peer& peer);
  void exchange_claims(std::uint64_t id_hash);
  void announce_endpoints(const std::string& bytes);
  // Sends to the peers what is queued for them.
  void flush_announcements();
  void count_peer_descriptors();
  void poll_peer_descriptors();
  void collect_state();
  SendResult hand_over_state();
  void hand_over_until(Micros deadline);

  net::EventLoop& event_loop_;
  proxy::ProxyServer& proxy_;
  DisabledBackendsSync& disabled_backends_;
  EndpointSnapshotSync& endpoint_snapshots_;
  HotRestartSocket socket_;
  PeerPtr successor_;                          // receives the sessions
  std::vector<proxy::HandoverMessage> state_;  // sent before the sessions
  std::size_t sent_state_count_ = 0;           // messages of state_ sent to this successor
  bool is_shutting_down_ = false;
  std::unique_ptr<net::IoWatch> announcement_watch_;
  std::list<PeerPtr> peers_;  // predecessor and successor processes
  bool is_polling_peers_ = false;
  bool is_receiving_paused_ = false;  // no descriptors are left for what may be received
  net::Timer receive_timer_;          // until messages can be received again
  net::Timer peer_count_timer_;       // for the next count of the peers' descriptors
  net::Timer handover_timer_;         // for what could not be handed over yet
  net::Timer announcement_timer_;     // for announcements that could not be sent yet
};

// The number of descriptors that a process has open; 0 if it cannot be determined.
std::size_t count_open_descriptors(int process);

}  // namespace cherryrail::admin
