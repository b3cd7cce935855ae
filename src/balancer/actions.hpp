// How the balancer acts on its surroundings.
#pragma once

#include <functional>
#include <string>

#include "balancer/backend.hpp"
#include "balancer/session.hpp"

namespace cherryrail {

// Implemented by the relay on sockets and by the simulator's adapter. The balancer has no other way to act;
// each call returns at once, and what comes of it is reported to the balancer later.
class BalancerActions {
 public:
  BalancerActions() = default;
  BalancerActions(const BalancerActions&) = delete;
  BalancerActions& operator=(const BalancerActions&) = delete;
  virtual ~BalancerActions() = default;

  virtual Micros now() const = 0;
  // How far the system's wall clock, by which other machines state times, has been stepped since the start.
  virtual Micros wall_clock_step() const { return 0; }
  // Sends the session's open request to a backend and gives it up after `timeout`.
  virtual void start_attempt(Session& session, Backend& backend, Micros timeout) = 0;
  // Ends the attempt that is under way: nobody waits for it any longer.
  virtual void cancel_attempt(Session& session) = 0;
  // The two negative final answers: nothing has happened (come again after `retry_after`; 0: no advice), and
  // failed.
  virtual void reject_session(Session& session, Micros retry_after) = 0;
  virtual void fail_session(Session& session) = 0;
  // Tells the client of an established session to connect anew.
  virtual void migrate_session(Session& session) = 0;
  virtual void check_health(Backend& backend) = 0;
  // Asks discovery for the endpoint list and for what changes in it.
  virtual void watch_endpoints() = 0;
  // Calls `callback` once the clock shows `when`. Timers cannot be cancelled: the callbacks check whether
  // they are still wanted.
  virtual void call_at(Micros when, std::function<void()> callback) = 0;
  virtual void log(const std::string& line) = 0;
};

}  // namespace cherryrail
