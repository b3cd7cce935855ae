#include "proxy/downstream_listener.hpp"

#include <algorithm>
#include <utility>

namespace cherryrail::proxy {
namespace {

// How long a connection may stay open without an open request. A well-behaved client may take two seconds to
// send its request.
constexpr Micros kRequestTimeout = 2'600'000;

}  // namespace

DownstreamListener::DownstreamListener(net::EventLoop& event_loop, net::SocketPtr listening_socket,
                                       DownstreamCallbacks callbacks)
    : event_loop_(event_loop), callbacks_(std::move(callbacks)),
      listener_(event_loop, std::move(listening_socket),
                [this](net::SocketPtr socket) { on_accepted(std::move(socket)); }) {}

// ---- Client connections ---------------------------------------------------------------------------------

void DownstreamListener::on_accepted(net::SocketPtr socket) {
  free_descriptors();
  if (callbacks_.are_descriptors_short()) {
    // Every descriptor is used by a session: the client is answered at once and no state is kept for it.
    net::send_and_close(std::move(socket), "BUSY\r\n");
    event_loop_.log().write(net::Topic::error, "client rejected: out of file descriptors");
    return;
  }
  add_pending_client(std::move(socket), "", 0);
  if (!is_shutting_down_) return;
  const auto accepted = clients_.find(last_number_);
  if (accepted != clients_.end()) accepted->second->shut_down();
}

DownstreamListener::ClientPtr DownstreamListener::add_client() {
  ++last_number_;
  ClientConnectionOwner& owner = *this;
  auto client = std::make_shared<ClientConnection>(event_loop_, owner, last_number_);
  clients_.emplace(last_number_, client);
  return client;
}

void DownstreamListener::add_pending_client(net::SocketPtr socket, std::string_view received, Micros waited) {
  const auto client = add_client();
  client->start(std::move(socket), waited);
  start_request_timer(last_number_);
  if (!received.empty()) client->on_received(received);
  client->read_now();  // most clients have already sent their request
}

void DownstreamListener::add_established_client(net::SocketPtr socket,
                                                const std::shared_ptr<ProxySession>& session) {
  add_client()->resume(std::move(socket), session);
}

void DownstreamListener::start_request_timer(std::uint64_t number) {
  const Micros due = clients_.at(number)->pending_since() + kRequestTimeout;
  pending_[number] = net::Timer(event_loop_, due, [this, number] { on_request_timer(number); });
}

void DownstreamListener::on_request_timer(std::uint64_t number) {
  const ClientPtr client = clients_.at(number);
  const bool has_pinged = event_loop_.now() < client->pending_since() + kRequestTimeout;
  if (has_pinged) {
    start_request_timer(number);
  } else {
    client->time_out();
  }
}

std::size_t DownstreamListener::session_count() const {
  const auto count = std::count_if(clients_.begin(), clients_.end(),
                                   [](const auto& entry) { return entry.second->has_session(); });
  return static_cast<std::size_t>(count);
}

bool DownstreamListener::has_partial_requests() const {
  return std::any_of(pending_.begin(), pending_.end(),
                     [this](const auto& entry) { return clients_.at(entry.first)->has_partial_request(); });
}

// Returns a copy, because clients that close during an iteration are removed from the map.
std::vector<DownstreamListener::ClientPtr> DownstreamListener::all_clients() const {
  std::vector<ClientPtr> all;
  for (const auto& [number, client] : clients_) all.push_back(client);
  return all;
}

// A client whose request has reached this machine must be answered, even if its connection is not accepted
// yet: when the process exits, the kernel drops such connections without an answer.
void DownstreamListener::shut_down(bool has_successor, Micros accept_deadline) {
  if (has_successor) {
    listener_.set_accepting(false);
  } else {
    is_shutting_down_ = true;
    listener_.close_once_drained(accept_deadline);
  }
  for (const auto& client : all_clients()) client->shut_down();
}

void DownstreamListener::hand_over(const SendHandover& send) {
  for (const auto& client : all_clients()) {
    const auto handover = client->prepare_handover();
    if (!handover) continue;
    if (!send(*handover)) return;
    client->finish_handover();
  }
}

// ---- File descriptors -----------------------------------------------------------------------------------

// Hundreds of connections that send nothing, or only pings, could otherwise hold all descriptors and leave
// none for clients that open sessions, nor for attempts, health checks and discovery.
void DownstreamListener::free_descriptors() {
  if (callbacks_.are_descriptors_short()) close_answered_connections();
  // Reading a pending client's request opens a session, which calls this function again.
  if (std::exchange(is_rejecting_pending_, true)) return;
  reject_pending_clients();
  is_rejecting_pending_ = false;
}

// All entries are checked each time their number has doubled: one slow client must not keep those behind it.
void DownstreamListener::remove_closed_connections() {
  if (closing_.size() < closing_check_size_) return;
  std::erase_if(closing_, [](const auto& entry) {
    const auto connection = entry.lock();
    return !connection || !connection->is_open();
  });
  closing_check_size_ = std::max(kMinClosingCheckSize, 2 * closing_.size());
}

// A connection whose last line is not fully sent stays open, because the client would never receive the line.
void DownstreamListener::close_answered_connections() {
  std::erase_if(closing_, [this](const auto& entry) {
    const auto connection = entry.lock();
    if (!connection) return true;
    const bool must_stay = connection->unsent_bytes() > 0 || !callbacks_.are_descriptors_short();
    if (connection->is_open() && must_stay) return false;
    connection->close_discarding_input();
    return true;
  });
}

void DownstreamListener::reject_pending_clients() {
  std::size_t remaining_rechecks = pending_.size();
  while (callbacks_.are_descriptors_short() && !pending_.empty()) {
    const auto client = longest_silent_client();
    const Micros last_write_at = client->last_write_at();
    client->read_now();  // the socket may hold an unread open request
    if (!client->is_pending()) continue;
    // A client that has just sent data is skipped: among many connections that never complete a request, slow
    // clients that keep sending would otherwise be rejected first.
    if (client->last_write_at() > last_write_at && remaining_rechecks-- > 0) continue;
    client->reject(DownstreamResult::no_descriptors);
  }
}

DownstreamListener::ClientPtr DownstreamListener::longest_silent_client() const {
  const auto longest_silent =
      std::min_element(pending_.begin(), pending_.end(), [this](const auto& left, const auto& right) {
        return clients_.at(left.first)->last_write_at() < clients_.at(right.first)->last_write_at();
      });
  return clients_.at(longest_silent->first);
}

// ---- ClientConnectionOwner ------------------------------------------------------------------------------

std::shared_ptr<ProxySession> DownstreamListener::create_session(std::string_view open_request_line) {
  return callbacks_.create_session(open_request_line);
}

void DownstreamListener::on_session_requested(const std::shared_ptr<ProxySession>& session) {
  callbacks_.on_session_requested(session);
}

void DownstreamListener::on_closing(const std::shared_ptr<net::Connection>& connection) {
  closing_.push_back(connection);
  remove_closed_connections();
}

void DownstreamListener::on_closed(std::uint64_t number, DownstreamResult result) {
  result_counts_.add(result);
  pending_.erase(number);
  event_loop_.post([this, number] { clients_.erase(number); });
}

}  // namespace cherryrail::proxy
