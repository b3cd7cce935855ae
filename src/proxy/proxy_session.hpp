// Where the two sides of a tunnel meet: one object a tunnel. Neither side knows the other, or the module.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

#include "net/event_loop.hpp"
#include "protocol/open_request.hpp"
#include "proxy/handover_message.hpp"

namespace cherryrail::proxy {

constexpr std::size_t kMuchWaiting = 65536;  // bytes that a slow reader may have waiting, on either side

enum class Ended : std::uint8_t { orderly, broken };

// What the client's side does when asked.
class DownstreamConnection {
 public:
  virtual void pass(std::string_view bytes, std::string_view more) = 0;
  virtual void finish(std::string_view last_line, const char* reason) = 0;  // a line, if any, then the end
  virtual void drop(const char* reason) = 0;                                // a reset, as the backend's
  virtual void read_on(bool wanted) = 0;
  virtual void look() = 0;                // reads at once what has come: it may have left
  virtual int flat_settings() const = 0;  // its descriptor, if that alone is the whole of this end; else -1
  virtual void handed() = 0;              // another process has it

 protected:
  ~DownstreamConnection() = default;
};

// What the server's side does when asked.
class UpstreamConnection {
 public:
  virtual void pass(std::string_view bytes) = 0;
  virtual void finish() = 0;  // the client sends no more
  virtual bool has_sent() const = 0;
  virtual void abandon() = 0;  // nobody waits any longer: the connection ends, and nothing more is told
  virtual void drop() = 0;     // the same with a reset
  virtual void read_on(bool wanted) = 0;
  virtual int flat_settings() const = 0;
  virtual void handed() = 0;

 protected:
  ~UpstreamConnection() = default;
};

class ProxySession final : public Session {
 public:
  ProxySession(net::EventLoop& event_loop, Balancer& relay, std::string_view line)
      : head(line), event_loop_(event_loop), balancer_(relay) {}
  ProxySession(const ProxySession&) = delete;
  ProxySession& operator=(const ProxySession&) = delete;

  const protocol::OpenRequest head;
  DownstreamConnection* client = nullptr;  // each is set and taken back by the side that owns it
  UpstreamConnection* server = nullptr;
  std::shared_ptr<Backend> stood_at;  // where it was open before this relay started, until it stands again

  // Said by the client's side.
  void client_passes(std::string_view bytes);
  void client_ended(Ended how);
  void client_spoke_early();  // more than its first line, before the answer to that
  // Asked by the server's side before the first byte of a setup goes out: the one place that all pass.
  bool may_still_send();
  // Said by the server's side, for the setup that is out or the backend that holds it.
  void came_up(std::string_view line, Micros duration);
  void server_passes(std::string_view bytes);
  void server_ended(Ended how, const AttemptOutcome& outcome, const LoadReport& report,
                    std::string_view last_line);
  // Said for the module.
  void decline(Micros retry_after);
  void fail_session();
  void abandon();
  void move();
  void last_call();  // the process ends: an open tunnel moves, one that waits hears now that it waits in vain

  // Between two processes. What can go now is told with its descriptors still its own; `gone` lets go of it.
  std::optional<OutgoingHandover> to_hand() const;
  void gone();
  void stands_at(const std::shared_ptr<Backend>& holder, Micros waited);  // both ends have come over

  bool client_left() const { return client_left_; }
  // How long a line of the client has waited for any from the backend.
  Micros unanswered_for(Micros now) const { return asked_at_ > 0 ? now - asked_at_ : 0; }

 private:
  std::shared_ptr<ProxySession> self() { return std::static_pointer_cast<ProxySession>(shared_from_this()); }
  void setup_over(const AttemptOutcome& outcome, bool finished, const LoadReport& report);
  void part();
  void give_up_client(const char* reason);
  const char* why_declined() const;

  net::EventLoop& event_loop_;
  Balancer& balancer_;
  Micros asked_at_ = 0;  // when the first line yet unanswered went to the backend
  bool between_lines_ = true, to_move_ = false, client_left_ = false;
};

}  // namespace cherryrail::proxy
