#include "support/balancer_fixture.hpp"

#include <algorithm>
#include <utility>

namespace cherryrail::testing {

BalancerConfig default_config(Idempotency idempotency) {
  TrafficClass traffic_class;
  traffic_class.attempt_latency_objective = 400 * kMillisecond;
  traffic_class.client_timeout = 2 * kSecond;
  traffic_class.message_latency_objective = 150 * kMillisecond;
  traffic_class.deduplication_window = 5 * kSecond;
  traffic_class.idempotency = idempotency;

  BalancerConfig config;
  config.traffic_classes = {traffic_class};
  config.max_attempts = 4;
  config.may_cancel_attempts = true;
  config.may_send_retry_after = true;
  config.max_retry_after = kSecond;
  config.endpoint_request_interval = 10 * kSecond;
  config.timer_resolution = kMillisecond;
  config.overload_window = 2 * kSecond;
  config.slow_start_duration = 20 * kSecond;
  config.overload_factor = 3;
  config.slow_start_initial_factor = 0.2;
  return config;
}

BalancerConfig health_check_config(unsigned relay_count) {
  BalancerConfig config = default_config();
  config.may_check_health = true;
  config.health_check_price = 0.002;
  config.relay_count = relay_count;
  return config;
}

BalancerConfig zone_aware_config() {
  BalancerConfig config = default_config();
  config.cross_zone_price = 0.02;
  return config;
}

BalancerFixture::BalancerFixture(std::size_t backend_count, const BalancerConfig& config)
    : balancer(actions, config, 7) {
  for (std::size_t i = 0; i < backend_count; ++i) add_backend(0);
}

Backend& BalancerFixture::add_backend(Micros started_at, std::optional<unsigned> zone) {
  backends.push_back(std::make_shared<Backend>());
  Backend& backend = *backends.back();
  backend.name = 1000 + backends.size();
  backend.zone = zone.value_or(static_cast<unsigned>(backends.size() % 2));
  balancer.update_endpoint(backends.back(), EndpointState::ready, 1, started_at);
  return backend;
}

void BalancerFixture::set_endpoint_state(std::size_t index, EndpointState state) {
  balancer.update_endpoint(backends[index], state, 1, backends[index]->slow_start.started_at());
}

Session& BalancerFixture::make_session(std::uint64_t client_key) {
  sessions.push_back(std::make_shared<Session>());
  Session& session = *sessions.back();
  session.traffic_class = balancer.traffic_classes().data();
  session.client_key = client_key;
  session.deadline = actions.current_time + session.traffic_class->client_timeout;
  return session;
}

Session& BalancerFixture::request_session(std::uint64_t client_key) {
  Session& session = make_session(client_key);
  balancer.admit(sessions.back());
  return session;
}

Session& BalancerFixture::establish_session(std::uint64_t client_key) {
  Session& session = request_session(client_key);
  if (session.backend) balancer.on_established(session, 20 * kMillisecond);
  return session;
}

void BalancerFixture::establish_sessions(std::uint64_t first_key, std::uint64_t count) {
  for (std::uint64_t key = first_key; key < first_key + count; ++key) establish_session(key);
}

Session& BalancerFixture::request_reconnect(std::uint64_t client_key) {
  Session& session = make_session(client_key);
  session.is_reconnecting = true;
  balancer.admit(sessions.back());
  return session;
}

void BalancerFixture::end_attempt(Session& session, AttemptResult result, bool is_final) {
  balancer.on_attempt_ended(session, {result, 10 * kMillisecond}, is_final, {});
}

void BalancerFixture::end_migrated_sessions() {
  for (Session* session : std::exchange(actions.migrated_sessions, {}))
    end_attempt(*session, AttemptResult::cancelled, true);
}

void BalancerFixture::report_message_latency(const Backend& backend, Micros latency) {
  balancer.on_message_latency_reported(*backend.sessions[0], latency);
}

void BalancerFixture::report_utilization(Backend& backend, double utilization, Micros duration) {
  balancer.on_health_check_ended(backend, {AttemptResult::succeeded, duration}, {utilization});
}

void BalancerFixture::answer_health_checks(Backend& backend, AttemptResult result, int rounds) {
  for (int i = 0; i < rounds; ++i) {
    for (Backend* checked : std::exchange(actions.health_checks, {})) {
      const AttemptResult answer = checked == &backend ? result : AttemptResult::succeeded;
      balancer.on_health_check_ended(*checked, {answer, 10 * kMillisecond}, {});
    }
    actions.advance(20 * kMillisecond);
  }
}

std::size_t BalancerFixture::attempts_to(const Backend& backend) const {
  return static_cast<std::size_t>(
      std::count_if(actions.attempts.begin(), actions.attempts.end(),
                    [&](const auto& attempt) { return attempt.backend == &backend; }));
}

std::size_t BalancerFixture::final_answers(const Session& session) const {
  const auto rejections = std::count_if(actions.rejections.begin(), actions.rejections.end(),
                                        [&](const auto& rejection) { return rejection.session == &session; });
  const auto failures = std::count(actions.failed_sessions.begin(), actions.failed_sessions.end(), &session);
  return static_cast<std::size_t>(rejections + failures);
}

}  // namespace cherryrail::testing
