// A watch on the endpoint list: one HTTP request to one address, whose response has a line for each change.
#pragma once

#include <cstdint>
#include <limits>
#include <memory>
#include <string>
#include <string_view>

#include "net/connection.hpp"
#include "net/event_loop.hpp"
#include "net/timer.hpp"
#include "protocol/http_response.hpp"

namespace cherryrail::proxy {

class DiscoveryWatch;

// Receives the events of a watch. A watch may be ended or released from within any of these calls.
class DiscoveryWatchOwner {
 public:
  // Called before the first call of on_list_line(), also if the first line is a heartbeat, which is empty.
  virtual void on_first_line(const DiscoveryWatch& watch) = 0;
  virtual void on_list_line(DiscoveryWatch& watch, const std::string& line) = 0;
  // Called once if the first line has not arrived in time. The watch goes on waiting.
  virtual void on_first_line_overdue(const DiscoveryWatch& watch) = 0;
  // The last call, made once for each watch. The list has to be requested again within `retry_within`.
  virtual void on_watch_ended(const DiscoveryWatch& watch, const std::string& reason,
                              Micros retry_within) = 0;

 protected:
  ~DiscoveryWatchOwner() = default;
};

// A state machine: connecting, then awaiting the first line, then streaming; the watch may end in each state.
// The owner interprets the lines and decides whether the watch is still followed.
class DiscoveryWatch final : public net::ConnectionHandler,
                             public std::enable_shared_from_this<DiscoveryWatch> {
 public:
  static constexpr Micros kNoRetryLimit = std::numeric_limits<Micros>::max();

  // `address` is host and port. Requests the changes after `version`, or the complete list if it is 0.
  // Without a first line `first_line_timeout` after connecting, the owner is notified. `owner` must outlive
  // the watch.
  DiscoveryWatch(net::EventLoop& event_loop, DiscoveryWatchOwner& owner, std::string address,
                 std::int64_t version, Micros first_line_timeout);
  ~DiscoveryWatch();
  DiscoveryWatch(const DiscoveryWatch&) = delete;
  DiscoveryWatch& operator=(const DiscoveryWatch&) = delete;

  // To be called once, before any other function.
  void start();
  // Closes the connection and notifies the owner.
  void end(const std::string& reason, Micros retry_within = kNoRetryLimit);
  [[nodiscard]] const std::string& address() const { return address_; }
  // Until when the list is known to have been current: the arrival of the latest line, or the end of the
  // connection if discovery ended it after a line. 0 before the first line. Does not count a line that is
  // being passed to the owner.
  [[nodiscard]] Micros current_until() const { return current_until_; }
  // Whether the watch has ended because no heartbeat came.
  [[nodiscard]] bool has_fallen_silent() const { return has_fallen_silent_; }

  void on_connected() override;
  void on_received(std::string_view bytes) override;
  void on_end_of_stream() override;
  void on_connection_lost() override;

 private:
  enum class State : std::uint8_t { connecting, awaiting_first_line, streaming };

  [[nodiscard]] Micros silence_timeout() const;
  [[nodiscard]] Micros silence_deadline() const { return last_received_at_ + silence_timeout(); }
  void schedule_silence_timeout();
  void on_silence_timeout();
  void end_by_peer(const std::string& reason);
  void read_body(std::string_view part);
  void handle_line(const std::string& line);

  net::EventLoop& event_loop_;
  DiscoveryWatchOwner& owner_;
  const std::string address_;
  const std::int64_t version_;
  const Micros first_line_timeout_;
  std::shared_ptr<net::Connection> connection_;  // none before start() and after the end
  protocol::HttpResponse response_;
  std::string partial_line_;
  net::Timer silence_timer_;
  State state_ = State::connecting;
  bool has_fallen_silent_ = false;
  Micros started_at_ = 0;
  Micros last_received_at_ = 0;  // the latest part of the body; before the first, when the watch started
  Micros current_until_ = 0;
};

}  // namespace cherryrail::proxy
