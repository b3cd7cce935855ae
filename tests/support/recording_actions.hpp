// BalancerActions for tests: records the balancer's actions and runs its timers in virtual time.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "balancer/balancer.hpp"

namespace cherryrail::testing {

constexpr Micros kMillisecond = 1000;
constexpr Micros kSecond = 1000 * kMillisecond;

struct RecordingActions final : BalancerActions {
  struct StartedAttempt {
    Session* session;
    Backend* backend;
    Micros time_limit;
  };
  struct Rejection {
    Session* session;
    Micros retry_after;
  };

  Micros current_time = 100 * kSecond;
  std::vector<StartedAttempt> attempts;
  std::vector<Rejection> rejections;
  std::vector<Session*> failed_sessions;
  std::vector<Session*> migrated_sessions;
  std::vector<Session*> cancelled_sessions;
  std::vector<Backend*> health_checks;
  std::vector<Micros> endpoint_watches;  // times of the calls
  std::vector<std::string> log_lines;
  std::map<TimerId, std::function<void()>> timers;
  std::uint64_t last_timer_sequence = 0;

  Micros now() const override { return current_time; }
  void start_attempt(Session& session, Backend& backend, Micros time_limit) override {
    attempts.push_back({&session, &backend, time_limit});
  }
  void cancel_attempt(Session& session) override { cancelled_sessions.push_back(&session); }
  void reject_session(Session& session, Micros retry_after) override {
    rejections.push_back({&session, retry_after});
  }
  void fail_session(Session& session) override { failed_sessions.push_back(&session); }
  void migrate_session(Session& session) override { migrated_sessions.push_back(&session); }
  void check_health(Backend& backend) override { health_checks.push_back(&backend); }
  void watch_endpoints() override { endpoint_watches.push_back(current_time); }
  TimerId call_at(Micros when, std::function<void()> callback) override {
    const TimerId timer{when, ++last_timer_sequence};
    timers.emplace(timer, std::move(callback));
    return timer;
  }
  void cancel_call(const TimerId& timer) override { timers.erase(timer); }
  void log(const std::string& line) override { log_lines.push_back(line); }

  // Advances the virtual time and runs each timer that expires at its own time.
  void advance(Micros duration) {
    const Micros until = current_time + duration;
    while (!timers.empty() && timers.begin()->first.due <= until) {
      current_time = std::max(current_time, timers.begin()->first.due);
      const auto callback = std::move(timers.begin()->second);
      timers.erase(timers.begin());
      callback();
    }
    current_time = until;
  }
};

}  // namespace cherryrail::testing
