// Decides, for the whole balancer, whether an attempt may start, whether its request may still be sent, and
// whether a session may get a final answer.
#pragma once

#include <cstdint>
#include <string_view>

#include "balancer/parameters.hpp"
#include "balancer/retry_policy.hpp"

namespace cherryrail {

// Why an attempt, a request or a final answer is not allowed now.
enum class Refusal : std::uint8_t {
  none,  // it is allowed
  already_answered,
  attempt_under_way,
  attempts_used_up,
  backend_not_ready,  // draining, gone or disabled by operator
  could_run_twice,    // an earlier attempt may have taken effect
  no_retry_budget,
};

// The name that the log uses.
std::string_view to_string(Refusal refusal);

class SessionRules {
 public:
  SessionRules(const BalancerParameters& parameters, const RetryPolicy& retry_policy)
      : parameters_(parameters), retry_policy_(retry_policy) {}

  // Whether the session's next attempt may start at `backend`. Slow start is checked separately, because it
  // needs the fleet's load.
  Refusal refuse_attempt(const Session& session, const Backend& backend) const;
  // Whether the first byte of the request may be sent, in an attempt that has started.
  Refusal refuse_request(const Session& session, const Backend& backend) const;
  // Whether the session may get a final answer.
  Refusal refuse_answer(const Session& session) const;

 private:
  const BalancerParameters& parameters_;
  const RetryPolicy& retry_policy_;
};

}  // namespace cherryrail
