// One client's connection: its first line, and then the client's end of its session.
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

// What a client's connection asks of the listener that owns it.
class ClientConnectionOwner {
 public:
  ClientConnectionOwner() = default;
  ClientConnectionOwner(const ClientConnectionOwner&) = delete;
  ClientConnectionOwner& operator=(const ClientConnectionOwner&) = delete;

  virtual std::shared_ptr<ProxySession> create_session(std::string_view open_request_line) = 0;
  // The client's first line is complete: it is pending no longer.
  virtual void on_request_received(std::uint64_t number) = 0;
  virtual void on_session_requested(const std::shared_ptr<ProxySession>& session) = 0;
  // The connection is over for the session, and stays until the client has read its last line.
  virtual void on_closing(const std::shared_ptr<net::Connection>& connection) = 0;
  // The object may be removed, though not within this call.
  virtual void on_closed(std::uint64_t number, DownstreamResult result) = 0;

 protected:
  ~ClientConnectionOwner() = default;
};

class ClientConnection final : public net::ConnectionHandler, public DownstreamConnection {
 public:
  ClientConnection(net::EventLoop& event_loop, ClientConnectionOwner& owner, std::uint64_t number)
      : event_loop_(event_loop), owner_(owner), number_(number) {}
  ~ClientConnection() = default;

  // A client that has written nothing yet. `waited`: how long it has been given already by a predecessor.
  void start(net::SocketPtr socket, Micros waited);
  // A client whose session is established already.
  void resume(net::SocketPtr socket, const std::shared_ptr<ProxySession>& session);
  // Answers a client without a session "BUSY" and closes.
  void reject(DownstreamResult result);
  // The time for the first line is over.
  void time_out();
  // The process stops: the client is answered or its session migrated.
  void shut_down();

  // Hot restart, as in ProxySession; also for a client that has no session yet.
  std::optional<OutgoingHandover> prepare_handover() const;
  void finish_handover();

  bool has_session() const { return session_ && !is_closed_; }
  bool is_pending() const { return !session_ && !is_closed_; }  // has not asked for a session yet
  bool has_partial_request() const { return !lines_.partial_line().empty(); }
  Micros pending_since() const { return pending_since_; }
  // When a part of its first line came; when it connected, until one does.
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
  void set_reading(bool wanted) override { connection_->set_reading(wanted); }
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
  std::uint64_t number_;  // for the log
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
