// The one place that decides whether an attempt may begin, whether its request may still be sent, and whether
// a session may be answered.
#pragma once

#include <cstdint>
#include <string_view>

#include "balancer/parameters.hpp"
#include "balancer/retry_policy.hpp"

namespace cherryrail {

// Why something may not happen now.
enum class Refusal : std::uint8_t {
  none,  // it may
  already_answered,
  attempt_under_way,
  attempts_used_up,
  backend_not_ready,  // it drains, is gone, or an operator has disabled it
  could_run_twice,
  no_retry_budget,
};

// For the log.
std::string_view to_string(Refusal refusal);

class SessionRules {
 public:
  SessionRules(const BalancerParameters& parameters, const RetryPolicy& retry_policy)
      : parameters_(parameters), retry_policy_(retry_policy) {}

  // The next attempt for the session, at that backend. Slow start is asked apart: it needs the fleet's load.
  Refusal refuse_attempt(const Session& session, const Backend& backend) const;
  // The first byte of the request of an attempt that has begun.
  Refusal refuse_request(const Session& session, const Backend& backend) const;
  // A final answer.
  Refusal refuse_answer(const Session& session) const;

 private:
  const BalancerParameters& parameters_;
  const RetryPolicy& retry_policy_;
};

}  // namespace cherryrail
