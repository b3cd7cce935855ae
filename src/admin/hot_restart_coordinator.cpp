#include "admin/hot_restart_coordinator.hpp"

#include <algorithm>
#include <filesystem>
#include <iterator>
#include <set>
#include <stdexcept>
#include <string>
#include <system_error>
#include <utility>
#include <variant>

#include "admin/endpoint_snapshot_transfer.hpp"
#include "admin/session_id_announcer.hpp"
#include "admin/state_files.hpp"

namespace cherryrail::admin {
namespace {

// How often this process tries again to send or receive a handover, which may become possible once a line is
// complete or a descriptor is free. Short compared to clients' timeouts.
constexpr Micros kRetryInterval = 20'000;
// Limited so that a predecessor with thousands of sessions does not block the event loop for clients.
constexpr int kMaxMessagesPerEvent = 64;
// A message with this many backends has some 90 KB: earlier builds can receive 128 KB, and the socket's limit
// is higher.
constexpr std::size_t kBackendsPerMessage = 1000;
// The delay until this process notices descriptors that its peer has opened.
constexpr Micros kPeerCountInterval = 100'000;

// Empty without an inherited listening socket, which disables hot restart.
std::string socket_folder(const config::RelayConfig& relay_config) {
  return relay_config.inherited_listener ? relay_config.state_directory : std::string();
}

}  // namespace

std::size_t count_open_descriptors(int process) {
  std::error_code error;
  const std::filesystem::directory_iterator descriptors("/proc/" + std::to_string(process) + "/fd", error);
  return static_cast<std::size_t>(std::distance(begin(descriptors), end(descriptors)));
}

// A connection to a predecessor or successor, kept until that process ends.
struct HotRestartCoordinator::Peer {
  HandoverChannel channel;
  int process = 0;                // 0 if it is this process
  bool is_known_process = false;  // another connection to it exists
  std::unique_ptr<net::IoWatch> watch;
  SessionIdAnnouncer session_ids;
  EndpointSnapshotSender endpoints;
  EndpointSnapshotReceiver received_endpoints;
  bool has_sent_endpoints = false;
};

HotRestartCoordinator::HotRestartCoordinator(net::EventLoop& event_loop, proxy::ProxyServer& proxy,
                                             DisabledBackendsSync& disabled_backends,
                                             EndpointSnapshotSync& endpoint_snapshots,
                                             const config::RelayConfig& relay_config)
    : event_loop_(event_loop), proxy_(proxy), disabled_backends_(disabled_backends),
      endpoint_snapshots_(endpoint_snapshots),
      socket_(socket_folder(relay_config), state_file_name(relay_config.name, kServingProcessSuffix)) {
  if (!relay_config.inherited_listener) return;
  proxy_.on_session_id_claimed([this](std::uint64_t id_hash) { exchange_claims(id_hash); });
  endpoint_snapshots_.on_snapshot([this](const std::string& bytes) { announce_endpoints(bytes); });
  // Connected from the start, so that both processes can count each other's descriptors, and this one knows
  // the predecessor's endpoint list before it serves.
  if (auto predecessor = socket_.connect_to_successor()) add_peer(std::move(*predecessor));
  proxy_.on_ready([this] { announce(); });
}

HotRestartCoordinator::~HotRestartCoordinator() {
  proxy_.on_session_id_claimed({});
  endpoint_snapshots_.on_snapshot({});
}

void HotRestartCoordinator::announce() {
  if (!socket_.announce()) {
    event_loop_.log().write(net::Topic::error,
                            "hot restart: cannot announce this process to its predecessor");
    return;
  }
  announcement_watch_ = std::make_unique<net::IoWatch>(event_loop_, socket_.descriptor(),
                                                       [this](bool, bool) { accept_predecessor(); });
  announcement_watch_->set_interest(true, false);
}

void HotRestartCoordinator::accept_predecessor() {
  auto channel = socket_.accept();
  if (!channel) return;
  const auto peer = add_peer(std::move(*channel));
  // A process that has just started knows no newer list than this one, so only this one sends its list.
  if (!peer->is_known_process) peer->endpoints.set(endpoint_snapshots_.encode());
  flush_announcements();
}

HotRestartCoordinator::PeerPtr HotRestartCoordinator::add_peer(HandoverChannel channel) {
  const int process = channel.peer_process().value_or(0);
  const auto is_same_process = [process](const PeerPtr& other) {
    return process != 0 && other->process == process;
  };
  const bool is_known_process = std::ranges::any_of(peers_, is_same_process);
  auto peer =
      std::make_shared<Peer>(Peer{std::move(channel), process, is_known_process, nullptr, {}, {}, {}, false});
  peers_.push_back(peer);
  // A pending event may be delivered after its peer has been removed.
  const auto on_readable = [this, weak_peer = std::weak_ptr(peer)](bool, bool) {
    if (const auto locked_peer = weak_peer.lock()) receive_from(*locked_peer);
  };
  peer->watch = std::make_unique<net::IoWatch>(event_loop_, peer->channel.descriptor(), on_readable);
  peer->watch->set_interest(true, false);
  if (!std::exchange(is_polling_peers_, true)) poll_peer_descriptors();
  if (!is_known_process) peer->session_ids.add(proxy_.claimed_session_ids());
  flush_announcements();
  return peer;
}

void HotRestartCoordinator::receive_from(Peer& peer) {
  count_peer_descriptors();
  receive_messages(peer);
}

void HotRestartCoordinator::receive_messages(Peer& peer) {
  for (int count = 0; count < kMaxMessagesPerEvent; ++count) {
    // If a message were read while no descriptors are left for its connections, its session would be lost.
    if (!proxy_.can_receive_handover()) return pause_receiving(peer);
    ReceiveResult result = peer.channel.receive();
    if (result.is_peer_gone) return remove_peer(peer);
    if (!result.handover) return;
    handle_handover(peer, std::move(*result.handover));
  }
}

void HotRestartCoordinator::pause_receiving(const Peer& peer) {
  peer.watch->set_interest(false, false);
  if (std::exchange(is_receiving_paused_, true)) return;
  receive_timer_ =
      net::Timer(event_loop_, event_loop_.now() + kRetryInterval, [this] { resume_receiving(); });
}

void HotRestartCoordinator::resume_receiving() {
  is_receiving_paused_ = false;
  count_peer_descriptors();
  for (const auto& peer : peers_) peer->watch->set_interest(true, false);
}

void HotRestartCoordinator::handle_handover(Peer& peer, proxy::IncomingHandover handover) {
  if (const auto* part = std::get_if<proxy::EndpointSnapshotPart>(&handover.message))
    return receive_endpoints(peer, *part);
  const bool is_state = std::holds_alternative<StateSnapshot>(handover.message);
  if (is_state && !std::exchange(peer.has_sent_endpoints, true)) {
    event_loop_.log().write(net::Topic::lifecycle,
                            "hot restart: the predecessor has not sent its endpoint list");
  }
  if (const auto* changes = std::get_if<proxy::DisabledBackendChanges>(&handover.message)) {
    disabled_backends_.take_over(changes->is_disabled);
    return;
  }
  try {
    proxy_.receive_handover(std::move(handover));
  } catch (const std::runtime_error& error) {
    event_loop_.log().write(net::Topic::error, "hot restart: a handover message is lost: {}", error.what());
  }
}

void HotRestartCoordinator::receive_endpoints(Peer& peer, const proxy::EndpointSnapshotPart& part) {
  const auto bytes = peer.received_endpoints.add(part);
  if (!bytes) return;
  peer.has_sent_endpoints = true;
  endpoint_snapshots_.receive(*bytes);
}

void HotRestartCoordinator::remove_peer(const Peer& peer) {
  peer.watch->set_interest(false, false);  // the successor is kept although it is gone
  peers_.remove_if([&peer](const auto& other) { return other.get() == &peer; });
  count_peer_descriptors();
}

// Tells the other process the id, then reads what that has claimed, so that the caller can compare.
void HotRestartCoordinator::exchange_claims(std::uint64_t id_hash) {
  for (const auto& peer : peers_) peer->session_ids.add({&id_hash, 1});
  flush_announcements();
  const std::list<PeerPtr> peers = peers_;  // a peer that is gone is removed meanwhile
  for (const auto& peer : peers) receive_messages(*peer);
}

// The successor gets the list together with the state.
void HotRestartCoordinator::announce_endpoints(const std::string& bytes) {
  for (const auto& peer : peers_) {
    if (peer != successor_) peer->endpoints.set(bytes);
  }
  flush_announcements();
}

void HotRestartCoordinator::flush_announcements() {
  bool is_complete = true;
  for (const auto& peer : peers_) {
    is_complete = peer->endpoints.flush(peer->channel) && is_complete;
    is_complete = peer->session_ids.flush(peer->channel) && is_complete;
  }
  if (is_complete) return;
  announcement_timer_ =
      net::Timer(event_loop_, event_loop_.now() + kRetryInterval, [this] { flush_announcements(); });
}

void HotRestartCoordinator::count_peer_descriptors() {
  std::set<int> processes;
  for (const auto& peer : peers_) processes.insert(peer->process);
  processes.erase(0);
  std::size_t descriptors = 0;
  for (const int process : processes) descriptors += count_open_descriptors(process);
  proxy_.set_descriptors_held_by_peers(descriptors);
}

void HotRestartCoordinator::poll_peer_descriptors() {
  count_peer_descriptors();
  is_polling_peers_ = !peers_.empty();
  if (!is_polling_peers_) return;
  peer_count_timer_ =
      net::Timer(event_loop_, event_loop_.now() + kPeerCountInterval, [this] { poll_peer_descriptors(); });
}

void HotRestartCoordinator::shut_down() {
  if (std::exchange(is_shutting_down_, true)) return;
  connect_to_successor();
  if (!successor_) return proxy_.begin_graceful_shutdown();
  collect_state();
  hand_over_until(proxy_.handover_deadline());
}

void HotRestartCoordinator::connect_to_successor() {
  auto channel = socket_.connect_to_successor();
  successor_ = channel ? add_peer(std::move(*channel)) : nullptr;
}

// Disabled backends and the endpoint list are sent first, because the successor may be serving already. What
// is known of a backend applies to its start on that list.
void HotRestartCoordinator::collect_state() {
  if (!disabled_backends_.pending_changes().empty())
    state_.emplace_back(proxy::DisabledBackendChanges{disabled_backends_.pending_changes()});
  for (proxy::EndpointSnapshotPart& part : split_endpoint_snapshot(endpoint_snapshots_.encode()))
    state_.emplace_back(std::move(part));
  for (StateSnapshot& part : split(proxy_.export_state(), kBackendsPerMessage))
    state_.emplace_back(std::move(part));
}

// Returns `sent` once the successor has received the whole state. A part that is too large for the socket is
// skipped, because it must not block the handover of sessions.
SendResult HotRestartCoordinator::hand_over_state() {
  while (sent_state_count_ < state_.size()) {
    const SendResult result = successor_->channel.send({state_[sent_state_count_]});
    if (result == SendResult::try_again || result == SendResult::peer_gone) return result;
    if (result == SendResult::too_large)
      event_loop_.log().write(net::Topic::error,
                              "hot restart: a part of the state is too large to hand over");
    ++sent_state_count_;
  }
  return SendResult::sent;
}

// Hands over the state and the sessions. What cannot be handed over yet, such as a session whose line is
// incomplete, is tried again until `deadline`. The sessions left then are migrated, as without a successor;
// so are all remaining ones if the successor dies and no other process has taken its place.
void HotRestartCoordinator::hand_over_until(Micros deadline) {
  const SendResult state_result = hand_over_state();
  bool is_successor_gone = state_result == SendResult::peer_gone;
  const auto send = [this, &is_successor_gone](const proxy::OutgoingHandover& handover) {
    const SendResult result = successor_->channel.send(handover);
    if (result == SendResult::peer_gone) is_successor_gone = true;
    return result == SendResult::sent;
  };
  const bool is_everything_handed_over = state_result == SendResult::sent && proxy_.hand_over(send);
  if (is_everything_handed_over) return proxy_.stop_when_empty();
  // With two restarts in quick succession, a successor that is gone may have a successor of its own.
  if (is_successor_gone) {
    connect_to_successor();
    sent_state_count_ = 0;
  }
  if (!successor_ || event_loop_.now() >= deadline) return proxy_.migrate_remaining_sessions();
  handover_timer_ = net::Timer(event_loop_, event_loop_.now() + kRetryInterval,
                               [this, deadline] { hand_over_until(deadline); });
}

}  // namespace cherryrail::admin
