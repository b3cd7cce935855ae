// A session in the proxy: the one object that its client's connection and its backend's connection share.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string_view>
#include <utility>

#include "net/event_loop.hpp"
#include "protocol/open_request.hpp"
#include "proxy/connection_result.hpp"
#include "proxy/downstream_connection.hpp"
#include "proxy/handover_message.hpp"
#include "proxy/invariant_monitor.hpp"
#include "proxy/upstream_connection.hpp"

namespace cherryrail::proxy {

// How many bytes may wait for a slow reader at either end before reading at the other end pauses.
constexpr std::size_t kSendBufferLimit = 65536;

// Passes lines between the two ends and tells the balancer what becomes of the session. Neither end knows
// the other. The calls into the balancer that end an attempt are posted, because this is often called from
// within the balancer's own step.
class ProxySession final : public Session {
 public:
  ProxySession(net::EventLoop& event_loop, Balancer& balancer, InvariantMonitor& invariant_monitor,
               std::string_view open_request_line)
      : request_(open_request_line), event_loop_(event_loop), balancer_(balancer),
        invariants_(invariant_monitor) {}
  ProxySession(const ProxySession&) = delete;
  ProxySession& operator=(const ProxySession&) = delete;
  ~ProxySession() = default;

  const protocol::OpenRequest& request() const { return request_; }
  std::string_view id() const { return request_.id(); }

  // Each end registers itself while it is there; null takes it back.
  void set_downstream(DownstreamConnection* downstream) { downstream_ = downstream; }
  void set_upstream(UpstreamConnection* upstream);
  // Each end pauses and resumes the other when its own peer reads slowly.
  void set_downstream_reading(bool wanted);
  void set_upstream_reading(bool wanted);

  // Called by the client's end.
  void on_downstream_data(std::string_view bytes);
  void on_downstream_closed(CloseKind kind);
  void on_early_data();

  // Asked by the backend's end before the first byte of the open request is written: true if the attempt is
  // still wanted and allowed.
  bool may_send_request();
  // Called by the backend's end. `line` is the backend's reply that establishes the session.
  void on_upstream_established(std::string_view line, Micros duration);
  void on_upstream_data(std::string_view bytes);
  void on_upstream_closed(CloseKind kind, const AttemptOutcome& outcome, const LoadReport& report,
                          std::string_view last_line);

  // Answers the client without asking the balancer.
  void refuse(std::string_view last_line, DownstreamResult result);

  // What the balancer asks for.
  void reject(Micros retry_after);  // 0: no time is stated to the client
  void fail();
  void abandon_attempt();
  void migrate();

  // The process stops: an established session is migrated, one that waits is answered now.
  void shut_down();

  // Hot restart. The message for the successor, if the session can go now: both ends idle, between two
  // lines. The sockets stay this process's own until release_to_successor().
  std::optional<OutgoingHandover> prepare_handover() const;
  void release_to_successor();
  // Both ends have come from a predecessor. `waited`: since a line of the client that is not answered yet.
  void resume(const std::shared_ptr<Backend>& holder, Micros waited);

  bool has_client_left() const { return has_client_left_; }
  // For how long a line of the client has waited for any line of the backend; 0 if none waits.
  Micros time_unanswered(Micros now) const;

 private:
  std::shared_ptr<ProxySession> self() { return std::static_pointer_cast<ProxySession>(shared_from_this()); }
  void report_attempt_end(const AttemptOutcome& outcome, bool is_finished, const LoadReport& report);
  void report_cancelled(bool is_finished);
  void check_final_answer(bool invites_retry);
  void end_before_answer(DownstreamResult result);
  void close_for_migration();
  DownstreamResult rejection_result() const;

  const protocol::OpenRequest request_;
  net::EventLoop& event_loop_;
  Balancer& balancer_;
  SessionInvariants invariants_;
  DownstreamConnection* downstream_ = nullptr;
  UpstreamConnection* upstream_ = nullptr;
  Micros unanswered_since_ = 0;        // when the first line not answered yet was passed on; 0: none
  bool is_between_lines_ = true;       // the backend's last line is complete
  bool is_migration_pending_ = false;  // waits for the end of the backend's line
  bool has_client_left_ = false;
};

}  // namespace cherryrail::proxy
