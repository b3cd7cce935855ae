// The connection on which one backend's health is checked, kept from one check to the next.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "balancer/balancer.hpp"
#include "net/connection.hpp"
#include "protocol/line_reader.hpp"

namespace cherryrail::proxy {

// What holds for every health check of a relay.
struct HealthCheckConfig {
  std::string request;         // PING or STATS, without its line end
  Micros connect_timeout = 0;  // both timeouts count from the start of the check
  Micros response_timeout = 0;
  Micros idle_timeout = 0;  // after this time without a check the connection closes
};

// Called once for each check, in a turn of the loop of its own. `report`: the load report of the answer.
using HealthCheckCallback = std::function<void(const AttemptOutcome&, std::string_view report)>;

class HealthCheckConnection final : public net::ConnectionHandler,
                                    public std::enable_shared_from_this<HealthCheckConnection> {
 public:
  // `config` has to outlive the object; `on_idle` is called once it can be removed.
  HealthCheckConnection(net::EventLoop& event_loop, const HealthCheckConfig& config, std::string uid,
                        std::function<void()> on_idle);
  ~HealthCheckConnection();
  HealthCheckConnection(const HealthCheckConnection&) = delete;
  HealthCheckConnection& operator=(const HealthCheckConnection&) = delete;

  // Starts a check, on a new connection if the address has changed. An earlier check that has no result yet
  // is never told one.
  void check(const net::Address& address, HealthCheckCallback on_result);

  void on_connected() override;
  void on_received(std::string_view bytes) override;
  void on_end_of_stream() override;
  void on_connection_lost() override;

 private:
  // What a timeout ends: only the connecting, or the whole check.
  enum class TimeoutScope : std::uint8_t { connecting, whole_check };

  void send_request();
  void on_reply(std::string_view line);
  void schedule_timeout(Micros timeout, TimeoutScope scope);
  void on_timeout(TimeoutScope scope);
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
  HealthCheckCallback on_result_;  // empty unless a check is under way
  Micros started_at_ = 0;
  std::uint64_t check_number_ = 0;  // timers of an earlier check are void
  bool is_connected_ = false;
};

}  // namespace cherryrail::proxy
