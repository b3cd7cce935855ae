// One watch on the endpoint list: one HTTP request at one address, answered by a line for each change.
#pragma once

#include <cstdint>
#include <limits>
#include <memory>
#include <string>
#include <string_view>

#include "net/connection.hpp"
#include "net/event_loop.hpp"
#include "protocol/http_response.hpp"

namespace cherryrail::proxy {

class DiscoveryWatch;

// What Discovery, which holds the watches, is told. A watch may be ended or released from within any of
// these.
class DiscoveryWatchOwner {
 public:
  // Before the first call of on_list_line(); also for an empty line, the heartbeat.
  virtual void on_first_line(const DiscoveryWatch& watch) = 0;
  virtual void on_list_line(DiscoveryWatch& watch, const std::string& line) = 0;
  // Once for each watch; nothing comes after it. `retry_within` is how soon the list has to be asked for
  // again.
  virtual void on_watch_ended(const DiscoveryWatch& watch, const std::string& reason,
                              Micros retry_within) = 0;

 protected:
  ~DiscoveryWatchOwner() = default;
};

// A state machine: connecting, then awaiting the first line, then streaming; it may end in each of these.
// What the lines mean, and whether the watch still counts, is its owner's affair.
class DiscoveryWatch final : public net::ConnectionHandler,
                             public std::enable_shared_from_this<DiscoveryWatch> {
 public:
  static constexpr Micros kNoRetryLimit = std::numeric_limits<Micros>::max();

  // `address` is host and port. Asks for what has changed after `version`, 0 for the whole list.
  // `first_line_timeout` is how long the first line may take once connected. `owner` has to outlive the
  // watch.
  DiscoveryWatch(net::EventLoop& event_loop, DiscoveryWatchOwner& owner, std::string address,
                 std::int64_t version, Micros first_line_timeout);
  ~DiscoveryWatch();
  DiscoveryWatch(const DiscoveryWatch&) = delete;
  DiscoveryWatch& operator=(const DiscoveryWatch&) = delete;

  // Called once, before anything else.
  void start();
  // Closes the connection and tells the owner.
  void end(const std::string& reason, Micros retry_within = kNoRetryLimit);
  [[nodiscard]] bool has_received_line() const { return state_ == State::streaming; }
  // When the latest line came, but for one that is being handed on; 0 if none has.
  [[nodiscard]] Micros last_line_at() const { return last_line_at_; }

  void on_connected() override;
  void on_received(std::string_view bytes) override;
  void on_end_of_stream() override;
  void on_connection_lost() override;

 private:
  enum class State : std::uint8_t { connecting, awaiting_first_line, streaming };

  [[nodiscard]] Micros silence_limit() const;
  [[nodiscard]] Micros silent_at() const { return last_received_at_ + silence_limit(); }
  void watch_for_silence();
  void end_silent();
  void take_body(std::string_view part);
  void take_line(const std::string& line);

  net::EventLoop& event_loop_;
  DiscoveryWatchOwner& owner_;
  const std::string address_;
  const std::int64_t version_;
  const Micros first_line_timeout_;
  std::shared_ptr<net::Connection> connection_;  // none before start() and after the end
  protocol::HttpResponse response_;
  std::string partial_line_;
  State state_ = State::connecting;
  Micros started_at_ = 0;
  Micros last_received_at_ = 0;
  Micros last_line_at_ = 0;
};

}  // namespace cherryrail::proxy
