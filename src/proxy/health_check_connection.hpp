// The connection for the health checks of one backend, kept open between checks.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "balancer/balancer.hpp"
#include "net/connection.hpp"
#include "net/timer.hpp"
#include "protocol/line_reader.hpp"

namespace cherryrail::proxy {

// The parameters of all health checks of a relay.
struct HealthCheckConfig {
  std::string request;         // PING or STATS, without line end
  Micros connect_timeout = 0;  // this and the next count from the start of the check
  Micros response_timeout = 0;
  Micros idle_timeout = 0;  // the connection closes after this time without a check
};

// Receives the result of a check, in an event loop turn of its own. `report`: the load report in the reply.
using HealthCheckCallback = std::function<void(const AttemptOutcome&, std::string_view report)>;

class HealthCheckConnection final : public net::ConnectionHandler,
                                    public std::enable_shared_from_this<HealthCheckConnection> {
 public:
  // `config` must outlive the object. `on_idle` is called once the connection can be removed.
  HealthCheckConnection(net::EventLoop& event_loop, const HealthCheckConfig& config, std::string uid,
                        std::function<void()> on_idle);
  ~HealthCheckConnection();
  HealthCheckConnection(const HealthCheckConnection&) = delete;
  HealthCheckConnection& operator=(const HealthCheckConnection&) = delete;

  // Starts a check, on a new connection if the address has changed. Discards an earlier check that has no
  // result yet: its callback is never called.
  void check(const net::Address& address, HealthCheckCallback on_result);

  void on_connected() override;
  void on_received(std::string_view bytes) override;
  void on_end_of_stream() override;
  void on_connection_lost() override;

 private:
  void send_request();
  void on_reply(std::string_view line);
  void on_timeout();
  void fail(AttemptResult result);
  void finish(AttemptResult result, std::string_view report);
  void schedule_idle_timeout();
  void close_connection();
  void log_result(std::string_view result) const;

  net::EventLoop& event_loop_;
  const HealthCheckConfig& config_;
  std::string uid_;
  std::function<void()> on_idle_;
  net::Address address_;
  std::shared_ptr<net::Connection> connection_;
  protocol::LineReader lines_;
  HealthCheckCallback on_result_;  // empty unless a check is in progress
  Micros started_at_ = 0;
  net::Timer connect_timer_;
  net::Timer check_timer_;  // for the end of the check, then of the unused connection
  bool is_connected_ = false;
};

}  // namespace cherryrail::proxy
