// A backend connection: an attempt to open a session at the backend, then the session's upstream connection.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

#include "net/connection.hpp"
#include "net/timer.hpp"
#include "protocol/backend_reply.hpp"
#include "protocol/line_reader.hpp"
#include "proxy/proxy_session.hpp"

namespace cherryrail::proxy {

// Callbacks of a backend connection to the connector that owns it.
class BackendConnectionOwner {
 public:
  BackendConnectionOwner() = default;
  BackendConnectionOwner(const BackendConnectionOwner&) = delete;
  BackendConnectionOwner& operator=(const BackendConnectionOwner&) = delete;

  virtual LoadReport parse_load_report(std::string_view fields) const = 0;
  virtual void on_load_line(ProxySession& session, double value) = 0;
  // The owner may destroy the backend connection, but only after this call has returned.
  virtual void on_closed(std::uint64_t number, UpstreamResult result) = 0;

 protected:
  ~BackendConnectionOwner() = default;
};

// Owned by a BackendConnectionOwner, and used by its session as an UpstreamConnection.
class BackendConnection final : public net::ConnectionHandler,
                                public UpstreamConnection,
                                public std::enable_shared_from_this<BackendConnection> {
 public:
  BackendConnection(net::EventLoop& event_loop, BackendConnectionOwner& owner, std::uint64_t number,
                    std::shared_ptr<ProxySession> session)
      : event_loop_(event_loop), owner_(owner), number_(number), session_(std::move(session)),
        started_at_(event_loop.now()) {}
  ~BackendConnection() = default;

  // Starts an attempt. `connect_timeout` and `attempt_timeout` both start now.
  void start(const net::Address& address, Micros connect_timeout, Micros attempt_timeout);
  // Takes over the upstream connection of a session that is already established.
  void resume(net::SocketPtr socket);

  ProxySession& session() { return *session_; }

  // net::ConnectionHandler
  void on_connected() override;
  void on_received(std::string_view bytes) override;
  void on_end_of_stream() override { on_peer_closed(CloseKind::orderly); }
  void on_connection_lost() override { on_peer_closed(CloseKind::broken); }
  void on_all_sent() override;

  // UpstreamConnection
  void send(std::string_view bytes) override;
  void end_sending() override;
  bool has_sent_request() const override;
  void abandon() override;
  void reset() override;
  void set_reading(bool is_enabled) override;
  std::optional<int> transferable_descriptor() const override;
  void release_to_successor() override;

 private:
  enum class State : std::uint8_t { connecting, sending_request, awaiting_reply, established, closed };
  // What happens to the bytes in the send buffer. After `deliver_unsent` the backend gets the rest of a line
  // that it has begun to receive.
  enum class CloseMode : std::uint8_t { discard_unsent, deliver_unsent, reset };

  void schedule_timeouts(Micros connect_deadline);
  void post_failure(AttemptResult result);
  void read_first_reply(std::string_view& bytes);
  void on_first_reply(std::string_view line);
  void read_session_lines(std::string_view bytes);
  void on_peer_closed(CloseKind kind);
  AttemptResult result_without_reply(AttemptResult result_if_sent) const;
  AttemptResult established_result() const;
  bool has_received_last_line() const;
  void finish_attempt(CloseKind kind, AttemptResult result, std::string_view report = {},
                      std::string_view last_line = {});
  CloseMode close_mode_now(bool is_abandoned) const;
  void close_connection(CloseMode mode);
  void detach(UpstreamResult result);
  void log_result(UpstreamResult result);

  net::EventLoop& event_loop_;
  BackendConnectionOwner& owner_;
  std::uint64_t number_;  // identifies the connection to the owner and in the log
  std::shared_ptr<ProxySession> session_;
  Micros started_at_;
  Micros deadline_ = 0;  // for the backend's first reply
  net::Timer connect_timer_;
  net::Timer deadline_timer_;  // of the attempt, then of the backend's close after the client's
  std::shared_ptr<net::Connection> connection_;
  protocol::LineReader lines_;
  protocol::ReplyKind last_line_kind_ = protocol::ReplyKind::other;  // of the lines forwarded to the client
  State state_ = State::connecting;
  bool has_local_failure_ = false;
};

}  // namespace cherryrail::proxy
