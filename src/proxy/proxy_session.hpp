// A session in the proxy: the object shared by its client connection and its backend connection.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string_view>
#include <utility>

#include "net/event_loop.hpp"
#include "net/timer.hpp"
#include "protocol/open_request.hpp"
#include "protocol/whole_line_buffer.hpp"
#include "proxy/connection_result.hpp"
#include "proxy/downstream_connection.hpp"
#include "proxy/handover_message.hpp"
#include "proxy/invariant_monitor.hpp"
#include "proxy/session_id_registry.hpp"
#include "proxy/upstream_connection.hpp"

namespace cherryrail::proxy {

// Forwards data between the downstream and the upstream connection, which do not reference each other, and
// reports the session's progress to the balancer. Data is forwarded in whole lines, so that the session can
// be migrated between two lines even if the rest of a line never arrives. Calls that report the end of an
// attempt are posted to the event loop, because the session is often called from within a balancer call.
class ProxySession final : public Session {
 public:
  ProxySession(net::EventLoop& event_loop, Balancer& balancer, InvariantMonitor& invariant_monitor,
               std::string_view open_request_line)
      : request_(open_request_line), event_loop_(event_loop), balancer_(balancer),
        invariants_(invariant_monitor) {}
  ProxySession(const ProxySession&) = delete;
  ProxySession& operator=(const ProxySession&) = delete;
  ~ProxySession() = default;

  // The client's open request, as received.
  const protocol::OpenRequest& request() const { return request_; }
  std::string_view id() const { return request_.id(); }

  // Keeps the id registered for as long as this session exists.
  void set_id_registration(SessionIdRegistry::Registration registration) {
    id_registration_.emplace(std::move(registration));
  }

  // Each connection registers itself while it is open; null unregisters it.
  void set_downstream(DownstreamConnection* downstream) { downstream_ = downstream; }
  void set_upstream(UpstreamConnection* upstream);
  // Backpressure: each connection pauses reading from the opposite one while its own send buffer is not
  // empty, so that a buffer holds one read at most.
  void set_downstream_reading(bool is_enabled);
  void set_upstream_reading(bool is_enabled);

  // Called by the downstream connection. The first two report data and the end of the stream; the last
  // reports data that arrived before the open request was answered, which fails the session.
  void on_downstream_data(std::string_view bytes);
  void on_downstream_closed(CloseKind kind);
  void on_early_data();

  // Called by the upstream connection before it writes the first byte of the open request. Returns whether
  // the client is still connected and the balancer still permits the request to this backend.
  bool may_send_request();
  // Called by the upstream connection. `line` is the backend's reply that establishes the session; `duration`
  // is the time since the attempt started.
  void on_upstream_established(std::string_view line, Micros duration);
  // Data of an established session, forwarded unchanged.
  void on_upstream_data(std::string_view bytes);
  // The attempt or the established session has ended. `last_line` is forwarded to the client, if not empty.
  void on_upstream_closed(CloseKind kind, const AttemptOutcome& outcome, const LoadReport& report,
                          std::string_view last_line);

  // Sends the client `last_line` and closes its connection, without involving the balancer.
  void refuse(std::string_view last_line, DownstreamResult result);

  // Called by the proxy on behalf of the balancer.
  void reject(Micros retry_after);  // 0: the answer to the client states no retry delay
  void fail();                      // answers the client ERR
  void abandon_attempt();           // reports the attempt as cancelled
  void migrate();                   // sends MOVE once the backend's current line is complete or late

  // Process shutdown: migrates an established session; answers the client of a waiting one at once.
  void shut_down();

  // Hot restart. Returns the message for the successor, or nothing if the session cannot be handed over now:
  // both connections must be idle and the backend's last line complete. This process keeps its sockets until
  // release_to_successor().
  std::optional<OutgoingHandover> prepare_handover();
  void release_to_successor();
  // Continues a session received from the predecessor. `waited` is the time since the client's first
  // unanswered line, 0 if there is none.
  void resume(const std::shared_ptr<Backend>& serving_backend, Micros waited);

  // Whether the client has closed its sending side or its connection.
  bool has_client_left() const { return has_client_left_; }
  // How long the client's first unanswered line has waited for any line from the backend; 0 if none waits, or
  // while the client reads too slowly for the relay to read from the backend.
  Micros time_unanswered(Micros now) const;

 private:
  std::shared_ptr<ProxySession> self() { return std::static_pointer_cast<ProxySession>(shared_from_this()); }
  void report_attempt_end(const AttemptOutcome& outcome, bool is_finished, const LoadReport& report);
  void report_cancelled(bool is_finished);
  void check_final_answer(bool invites_retry);
  // Returns false after answering the client ERR if another process has a request with the same id.
  bool claim_id();
  void end_before_answer(DownstreamResult result);
  void forward_downstream(std::string_view lines);
  void forward_upstream(std::string_view lines);
  void forward_partial_line_upstream();
  bool is_between_lines() const;
  void close_for_migration();
  DownstreamResult rejection_result() const;

  const protocol::OpenRequest request_;
  net::EventLoop& event_loop_;
  Balancer& balancer_;
  SessionInvariants invariants_;
  std::optional<SessionIdRegistry::Registration> id_registration_;
  DownstreamConnection* downstream_ = nullptr;
  UpstreamConnection* upstream_ = nullptr;
  Micros unanswered_since_ = 0;                 // when the first unanswered line was forwarded; 0: none
  protocol::WholeLineBuffer upstream_lines_;    // from the backend
  protocol::WholeLineBuffer downstream_lines_;  // from the client
  net::Timer migration_timer_;
  bool is_migration_pending_ = false;  // until the backend's current line is complete
  bool has_client_left_ = false;
  bool is_upstream_reading_ = true;
};

}  // namespace cherryrail::proxy
