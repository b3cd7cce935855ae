#include "balancer/session_rules.hpp"

namespace cherryrail {

std::string_view to_string(Refusal refusal) {
  switch (refusal) {
    case Refusal::none:
      return "none";
    case Refusal::already_answered:
      return "already_answered";
    case Refusal::attempt_under_way:
      return "attempt_under_way";
    case Refusal::attempts_used_up:
      return "attempts_used_up";
    case Refusal::backend_not_ready:
      return "backend_not_ready";
    case Refusal::could_run_twice:
      return "could_run_twice";
    case Refusal::no_retry_budget:
      return "no_retry_budget";
  }
  return "unknown";
}

Refusal SessionRules::refuse_attempt(const Session& session, const Backend& backend) const {
  if (session.backend != nullptr) return Refusal::attempt_under_way;
  if (session.attempts >= parameters_.max_attempts) return Refusal::attempts_used_up;
  const Refusal refusal = refuse_request(session, backend);
  if (refusal != Refusal::none) return refusal;
  return retry_policy_.is_within_budget(session) ? Refusal::none : Refusal::no_retry_budget;
}

Refusal SessionRules::refuse_request(const Session& session, const Backend& backend) const {
  if (session.is_answered) return Refusal::already_answered;
  if (backend.state != EndpointState::ready) return Refusal::backend_not_ready;
  return retry_policy_.is_safe(session, backend) ? Refusal::none : Refusal::could_run_twice;
}

Refusal SessionRules::refuse_answer(const Session& session) const {
  return session.is_answered ? Refusal::already_answered : Refusal::none;
}

}  // namespace cherryrail
