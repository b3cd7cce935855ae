// Opens sessions at backends and owns the backend connections, one per session.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "proxy/backend_connection.hpp"

namespace cherryrail::proxy {

// Callbacks of the connector to the proxy.
struct UpstreamCallbacks {
  std::function<LoadReport(std::string_view fields)> parse_load_report;
  // Called for each LOAD line that a backend sends on an established session.
  std::function<void(ProxySession&, double value)> on_load_line;
};

class UpstreamConnector final : private BackendConnectionOwner {
 public:
  UpstreamConnector(net::EventLoop& event_loop, Micros connect_timeout, UpstreamCallbacks callbacks);
  ~UpstreamConnector() = default;
  UpstreamConnector(const UpstreamConnector&) = delete;
  UpstreamConnector& operator=(const UpstreamConnector&) = delete;

  // Starts an attempt, whose result is reported to the session, never within this call. The configured
  // connect timeout is multiplied by `connect_timeout_factor`.
  void start_attempt(const std::shared_ptr<ProxySession>& session, const net::Address& address,
                     Micros attempt_timeout, unsigned connect_timeout_factor);
  // Takes over the upstream connection of an established session that a predecessor has handed over.
  void add_established(const std::shared_ptr<ProxySession>& session, net::SocketPtr socket);
  // Calls `visit` for each session whose client has waited at least `min_wait` for any data from the backend.
  void for_each_unanswered(Micros min_wait, const std::function<void(ProxySession&)>& visit);
  // Results of attempts and established sessions since the process started.
  const UpstreamCounts& result_counts() const { return result_counts_; }

 private:
  using BackendConnectionPtr = std::shared_ptr<BackendConnection>;

  BackendConnectionPtr add_connection(const std::shared_ptr<ProxySession>& session);

  // BackendConnectionOwner
  LoadReport parse_load_report(std::string_view fields) const override;
  void on_load_line(ProxySession& session, double value) override;
  void on_closed(std::uint64_t number, UpstreamResult result) override;

  net::EventLoop& event_loop_;
  Micros connect_timeout_;
  UpstreamCallbacks callbacks_;
  std::map<std::uint64_t, BackendConnectionPtr> connections_;  // keyed by connection number
  UpstreamCounts result_counts_;
  std::uint64_t last_number_ = 0;
};

}  // namespace cherryrail::proxy
