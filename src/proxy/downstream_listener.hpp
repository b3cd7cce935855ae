// Accepts client connections and owns them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "net/connection.hpp"
#include "net/listener.hpp"
#include "net/timer.hpp"
#include "proxy/client_connection.hpp"

namespace cherryrail::proxy {

// Callbacks of the listener to the proxy.
struct DownstreamCallbacks {
  std::function<std::shared_ptr<ProxySession>(std::string_view open_request_line)> create_session;
  // Called after the client is registered as the session's downstream connection.
  std::function<void(const std::shared_ptr<ProxySession>&)> on_session_requested;
  std::function<bool()> are_descriptors_short;
};

class DownstreamListener final : private ClientConnectionOwner {
 public:
  // Accepts no connections until set_accepting(true).
  DownstreamListener(net::EventLoop& event_loop, net::SocketPtr listening_socket,
                     DownstreamCallbacks callbacks);
  ~DownstreamListener() = default;
  DownstreamListener(const DownstreamListener&) = delete;
  DownstreamListener& operator=(const DownstreamListener&) = delete;

  void set_accepting(bool is_enabled) { listener_.set_accepting(is_enabled); }
  // Process shutdown: answers every connected client or migrates its session. Without a successor, also
  // accepts and answers the clients in the kernel's accept queue, until `accept_deadline` at the latest, and
  // closes the listening socket.
  void shut_down(bool has_successor, Micros accept_deadline);

  std::size_t session_count() const;  // established or waiting for a backend
  bool is_empty() const { return clients_.empty(); }
  // Results of client connections since the process started.
  const DownstreamCounts& result_counts() const { return result_counts_; }
  bool has_partial_requests() const;  // a client has sent part of its open request

  // Hot restart. `send` returns whether the successor has received the message; after the first failure the
  // remaining clients stay with this process.
  using SendHandover = std::function<bool(const OutgoingHandover&)>;
  void hand_over(const SendHandover& send);
  // Takes over a client from a predecessor: one without a session, or one whose session is established.
  void add_pending_client(net::SocketPtr socket, std::string_view received, Micros waited);
  void add_established_client(net::SocketPtr socket, const std::shared_ptr<ProxySession>& session);

  // While descriptors are short, closes connections whose last line has been sent, then pending clients,
  // longest silent first. Called before a client is accepted or a session is opened.
  void free_descriptors();

 private:
  // closing_ is not checked for connections that have closed while it has fewer entries.
  static constexpr std::size_t kMinClosingCheckSize = 64;

  using ClientPtr = std::shared_ptr<ClientConnection>;

  void on_accepted(net::SocketPtr socket);
  ClientPtr add_client();
  std::vector<ClientPtr> all_clients() const;
  void start_request_timer(std::uint64_t number);
  void on_request_timer(std::uint64_t number);
  void remove_closed_connections();
  void close_answered_connections();
  void reject_pending_clients();
  ClientPtr longest_silent_client() const;

  // ClientConnectionOwner
  std::shared_ptr<ProxySession> create_session(std::string_view open_request_line) override;
  void on_request_received(std::uint64_t number) override { pending_.erase(number); }
  void on_session_requested(const std::shared_ptr<ProxySession>& session) override;
  void on_closing(const std::shared_ptr<net::Connection>& connection) override;
  void on_closed(std::uint64_t number, DownstreamResult result) override;

  net::EventLoop& event_loop_;
  DownstreamCallbacks callbacks_;
  std::map<std::uint64_t, ClientPtr> clients_;          // keyed by number, in order of acceptance
  std::map<std::uint64_t, net::Timer> pending_;         // clients without a complete open request
  std::deque<std::weak_ptr<net::Connection>> closing_;  // last line sent, maybe not yet read by the client
  std::size_t closing_check_size_ = kMinClosingCheckSize;
  DownstreamCounts result_counts_;
  std::uint64_t last_number_ = 0;
  bool is_rejecting_pending_ = false;
  bool is_shutting_down_ = false;
  net::Listener listener_;  // destroyed first: its callback uses the other members
};

}  // namespace cherryrail::proxy
