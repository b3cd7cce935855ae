// Checks, while the relay runs, that what leaves on its connections keeps what is promised to clients and
// backends. It decides nothing: the balancer's SessionRules do, and this has its own account of each session.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "balancer/session.hpp"
#include "net/log.hpp"

namespace cherryrail::proxy {

enum class Invariant : std::uint8_t {
  one_final_answer,
  answer_in_time,
  one_attempt_at_a_time,
  no_request_without_client,
  no_request_to_unready_backend,
  no_effect_twice,
};
constexpr std::size_t kInvariantCount = 6;

// For the log and the statistics.
std::string_view to_string(Invariant invariant);

// Counts violations and writes an `error` line for each.
class InvariantMonitor {
 public:
  explicit InvariantMonitor(net::Log& log) : log_(log) {}

  void expect(bool holds, Invariant invariant, std::string_view session_id);
  std::uint64_t violations(Invariant invariant) const {
    return violations_[static_cast<std::size_t>(invariant)];
  }

 private:
  net::Log& log_;
  std::array<std::uint64_t, kInvariantCount> violations_{};
};

// What has passed on the wire for one session until its final answer.
class SessionInvariants {
 public:
  explicit SessionInvariants(InvariantMonitor& monitor) : monitor_(monitor) {}

  // A connection to a backend begins to be made; it has ended.
  void on_attempt_started(std::string_view session_id);
  void on_attempt_ended() { has_attempt_ = false; }
  // The first byte of the open request is about to be written.
  void on_request(const Session& session, std::string_view session_id, const Backend& backend,
                  bool has_client);
  // The backend has said that it has not run what was sent, or the request never became whole.
  void on_request_not_run();
  // A final answer is about to be written; `invites_retry` if it says that nothing has happened.
  void on_final_answer(const Session& session, std::string_view session_id, Micros now, bool invites_retry);

 private:
  InvariantMonitor& monitor_;
  bool has_attempt_ = false;
  bool is_request_out_ = false;      // of the latest attempt
  bool has_run_ = false;             // at some backend, or may have
  bool has_run_at_earlier_ = false;  // the same before the latest request
  bool has_final_answer_ = false;
};

}  // namespace cherryrail::proxy
