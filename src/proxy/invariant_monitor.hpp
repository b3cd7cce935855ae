// Checks at run time that the data sent on the relay's connections keeps the guarantees given to clients and
// backends. The checks make no decisions, which are left to the balancer's SessionRules, and track each
// session's state independently of them.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "balancer/session.hpp"
#include "net/log.hpp"

namespace cherryrail::proxy {

// The guarantees that are checked.
enum class Invariant : std::uint8_t {
  one_final_answer,
  answer_in_time,
  one_attempt_at_a_time,
  no_request_without_client,
  no_request_to_unready_backend,
  no_effect_twice,
};
constexpr std::size_t kInvariantCount = 6;

// The invariant's name in the log and the statistics.
std::string_view to_string(Invariant invariant);

// Counts violations and writes an `error` log line for each.
class InvariantMonitor {
 public:
  explicit InvariantMonitor(net::Log& log) : log_(log) {}

  // Counts and logs a violation unless `holds`.
  void expect(bool holds, Invariant invariant, std::string_view session_id);
  std::uint64_t violations(Invariant invariant) const {
    return violations_[static_cast<std::size_t>(invariant)];
  }

 private:
  net::Log& log_;
  std::array<std::uint64_t, kInvariantCount> violations_{};
};

// The invariants of one session, from what has been sent for it up to its final answer.
class SessionInvariants {
 public:
  explicit SessionInvariants(InvariantMonitor& monitor) : monitor_(monitor) {}

  // Start and end of a connection to a backend.
  void on_attempt_started(std::string_view session_id);
  void on_attempt_ended() { has_attempt_ = false; }
  // The first byte of the open request is about to be written.
  void on_request(const Session& session, std::string_view session_id, const Backend& backend,
                  bool has_client);
  // The backend has answered that it did not run the request, or the request was not sent completely.
  void on_request_not_run();
  // A final answer is about to be written. `invites_retry`: it tells the client that the request was not run.
  void on_final_answer(const Session& session, std::string_view session_id, Micros now, bool invites_retry);

 private:
  InvariantMonitor& monitor_;
  bool has_attempt_ = false;
  bool is_request_sent_ = false;      // in the latest attempt
  bool may_have_run_ = false;         // at any backend
  bool may_have_run_before_ = false;  // at any backend, before the latest request
  bool has_final_answer_ = false;
};

}  // namespace cherryrail::proxy
