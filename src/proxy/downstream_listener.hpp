// Accepts clients and owns their connections.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "net/connection.hpp"
#include "net/listener.hpp"
#include "proxy/client_connection.hpp"

namespace cherryrail::proxy {

// What the listener asks of the proxy.
struct DownstreamCallbacks {
  std::function<std::shared_ptr<ProxySession>(std::string_view open_request_line)> create_session;
  // Called once the client is registered as the session's downstream end.
  std::function<void(const std::shared_ptr<ProxySession>&)> on_session_requested;
  std::function<bool()> are_descriptors_short;
};

class DownstreamListener final : private ClientConnectionOwner {
 public:
  // Accepts nobody until set_accepting(true).
  DownstreamListener(net::EventLoop& event_loop, net::SocketPtr listening_socket,
                     DownstreamCallbacks callbacks);
  ~DownstreamListener() = default;
  DownstreamListener(const DownstreamListener&) = delete;
  DownstreamListener& operator=(const DownstreamListener&) = delete;

  void set_accepting(bool wanted) { listener_.set_accepting(wanted); }
  // The process stops: every client that has connected is answered or its session migrated. Without a
  // successor those in the kernel's queue are, too, by `latest`, and the socket is closed.
  void shut_down(bool has_successor, Micros latest);

  std::size_t session_count() const;  // established or waiting for a backend
  bool is_empty() const { return clients_.empty(); }
  const DownstreamCounts& result_counts() const { return result_counts_; }
  bool has_partial_requests() const;  // some client has written part of its first line

  // Hot restart. `give` returns whether the successor has got the message; at the first false the rest stays.
  using Give = std::function<bool(const OutgoingHandover&)>;
  void hand_over(const Give& give);
  // Clients from a predecessor: one without a session, and one whose session is established.
  void add_pending_client(net::SocketPtr socket, std::string_view received, Micros waited);
  void add_established_client(net::SocketPtr socket, const std::shared_ptr<ProxySession>& session);

  // Where descriptors are short: closes connections that have their last line, then pending clients, the one
  // that has written nothing for longest first. Called before a client is accepted or a session opened.
  void free_descriptors();

 private:
  using ClientPtr = std::shared_ptr<ClientConnection>;

  void on_accepted(net::SocketPtr socket);
  ClientPtr add_client();
  std::vector<ClientPtr> all_clients() const;
  void schedule_request_timeout(const ClientPtr& client);
  void forget_closed_connections();
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
  std::map<std::uint64_t, ClientPtr> clients_;          // by number, which is the order of their coming
  std::set<std::uint64_t> pending_;                     // those that have not asked for a session yet
  std::deque<std::weak_ptr<net::Connection>> closing_;  // answered; the client may still have to read it
  DownstreamCounts result_counts_;
  std::uint64_t last_number_ = 0;
  bool is_rejecting_pending_ = false;
  bool is_shutting_down_ = false;
  net::Listener listener_;  // last: it uses the rest
};

}  // namespace cherryrail::proxy
