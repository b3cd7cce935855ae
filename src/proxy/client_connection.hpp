// A client connection: reads the client's open request, then forwards data for its session.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

#include "net/connection.hpp"
#include "protocol/line_reader.hpp"
#include "proxy/proxy_session.hpp"

namespace cherryrail::proxy {

class ClientConnection;

// Callbacks of a client connection to the listener that owns it.
class ClientConnectionOwner {
 public:
  ClientConnectionOwner() = default;
  ClientConnectionOwner(const ClientConnectionOwner&) = delete;
  ClientConnectionOwner& operator=(const ClientConnectionOwner&) = delete;

  virtual std::shared_ptr<ProxySession> create_session(std::string_view open_request_line) = 0;
  // The client's open request is complete, so the client is no longer pending.
  virtual void on_request_received(std::uint64_t number) = 0;
  virtual void on_session_requested(const std::shared_ptr<ProxySession>& session) = 0;
  // The session no longer uses the connection, which stays open until the client has read its last line.
  virtual void on_closing(const std::shared_ptr<net::Connection>& connection) = 0;
  // The owner may destroy the client connection, but only after this call has returned.
  virtual void on_closed(std::uint64_t number, DownstreamResult result) = 0;

 protected:
  ~ClientConnectionOwner() = default;
};

// Owned by a ClientConnectionOwner, and used by its session as a DownstreamConnection.
class ClientConnection final : public net::ConnectionHandler, public DownstreamConnection {
 public:
  ClientConnection(net::EventLoop& event_loop, ClientConnectionOwner& owner, std::uint64_t number)
      : event_loop_(event_loop), owner_(owner), number_(number) {}
  ~ClientConnection() = default;

  // Starts reading a client's open request. `waited` is how long a predecessor has already waited for it.
  void start(net::SocketPtr socket, Micros waited);
  // Takes over the client of a session that is already established.
  void resume(net::SocketPtr socket, const std::shared_ptr<ProxySession>& session);
  // Answers "BUSY" to a client without a session and closes the connection.
  void reject(DownstreamResult result);
  // Closes the connection of a client that did not complete its open request in time.
  void time_out();
  // Process shutdown: answers the client or migrates its session.
  void shut_down();

  // Hot restart, as in ProxySession, but also for a client that has no session yet.
  std::optional<OutgoingHandover> prepare_handover();
  // Closes this process's sockets after the successor has received the message.
  void finish_handover();

  bool has_session() const { return session_ && !is_closed_; }
  bool is_pending() const { return !session_ && !is_closed_; }  // has sent no complete open request yet
  bool has_partial_request() const { return !lines_.partial_line().empty(); }
  Micros pending_since() const { return pending_since_; }
  // When the client last sent part of its open request, or when it connected if it has sent nothing.
  Micros last_write_at() const { return last_write_at_; }

  // net::ConnectionHandler
  void on_received(std::string_view bytes) override;
  void on_end_of_stream() override { on_peer_closed(CloseKind::orderly); }
  void on_connection_lost() override { on_peer_closed(CloseKind::broken); }
  void on_all_sent() override;

  // DownstreamConnection
  void send(std::string_view bytes, std::string_view suffix) override;
  void finish(std::string_view last_line, DownstreamResult result) override;
  void reset(DownstreamResult result) override;
  void set_reading(bool is_enabled) override { connection_->set_reading(is_enabled); }
  void read_now() override { connection_->read_now(); }
  std::optional<int> transferable_descriptor() const override;
  void release_to_successor() override;

 private:
  void open_connection(net::SocketPtr socket);
  void read_request(std::string_view bytes);
  bool answer_ping();
  void request_session(std::string_view unread);
  void check_partial_request();
  void on_peer_closed(CloseKind kind);
  void close(DownstreamResult result);

  net::EventLoop& event_loop_;
  ClientConnectionOwner& owner_;
  std::uint64_t number_;  // identifies the connection to the owner and in the log
  std::shared_ptr<net::Connection> connection_;
  std::shared_ptr<ProxySession> session_;
  protocol::LineReader lines_;
  Micros connected_at_ = 0;
  Micros pending_since_ = 0;
  Micros last_write_at_ = 0;
  bool is_established_ = false;
  bool is_closed_ = false;
};

}  // namespace cherryrail::proxy
