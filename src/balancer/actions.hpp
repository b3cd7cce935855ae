// The interface through which the balancer acts on its environment.
#pragma once

#include <functional>
#include <string>

#include "balancer/backend.hpp"
#include "balancer/session.hpp"
#include "balancer/time.hpp"

namespace cherryrail {

// Implemented by the relay on sockets and by the simulator's adapter. The balancer has no other side effects.
// No call blocks; results are reported to the balancer later through its on_...() functions.
class BalancerActions {
 public:
  BalancerActions() = default;
  BalancerActions(const BalancerActions&) = delete;
  BalancerActions& operator=(const BalancerActions&) = delete;
  virtual ~BalancerActions() = default;

  virtual Micros now() const = 0;
  // How far the system's wall clock has been stepped since this process started. Other machines report times
  // by the wall clock.
  virtual Micros wall_clock_step() const { return 0; }
  // Sends the session's open request to a backend; the attempt times out after `timeout`.
  virtual void start_attempt(Session& session, Backend& backend, Micros timeout) = 0;
  // Cancels the session's attempt under way, whose result is no longer needed.
  virtual void cancel_attempt(Session& session) = 0;
  // The two negative final answers. Rejected: nothing has taken effect or a repeat does no harm, and the
  // client may retry after `retry_after` (0: not stated). Failed: an attempt may have taken effect.
  virtual void reject_session(Session& session, Micros retry_after) = 0;
  virtual void fail_session(Session& session) = 0;
  // Tells the client of an established session to reconnect.
  virtual void migrate_session(Session& session) = 0;
  virtual void check_health(Backend& backend) = 0;
  // Requests the endpoint list and its changes from discovery.
  virtual void watch_endpoints() = 0;
  // Calls `callback` once now() reaches `when`.
  virtual TimerId call_at(Micros when, std::function<void()> callback) = 0;
  // Cancels a scheduled call and frees its callback. Has no effect once the call has been made.
  virtual void cancel_call(const TimerId& timer) = 0;
  virtual void log(const std::string& line) = 0;
};

}  // namespace cherryrail
