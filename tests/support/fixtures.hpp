// One tiny host for the module's stories: it notes what the module does and lets time pass. And a relay on
// loopback sockets for the network's stories, with the other ends of its connections in the story's hand.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "balancer/balancer.hpp"
#include "proxy/proxy_server.hpp"

namespace cherryrail::testing {

constexpr Micros kMs = 1000, kS = 1000 * kMs;

struct RecordingActions final : BalancerActions {
  struct Sent {
    Session* session;
    Backend* backend;
    Micros limit;
  };
  Micros clock = 100 * kS;
  std::vector<Sent> sent;
  std::vector<std::pair<Session*, Micros>> declined;
  std::vector<Session*> closed, moved, abandoned;
  std::vector<Backend*> probed;
  std::vector<Micros> followed;
  std::vector<std::string> lines;
  std::multimap<Micros, std::function<void()>> alarms;

  Micros now() const override { return clock; }
  void start_attempt(Session& session, Backend& backend, Micros limit) override {
    sent.push_back({&session, &backend, limit});
  }
  void cancel_attempt(Session& session) override { abandoned.push_back(&session); }
  void reject_session(Session& session, Micros retry_after) override {
    declined.emplace_back(&session, retry_after);
  }
  void fail_session(Session& session) override { closed.push_back(&session); }
  void migrate_session(Session& session) override { moved.push_back(&session); }
  void check_health(Backend& backend) override { probed.push_back(&backend); }
  void watch_endpoints() override { followed.push_back(clock); }
  void call_at(Micros when, std::function<void()> then) override { alarms.emplace(when, std::move(then)); }
  void log(const std::string& line) override { lines.push_back(line); }

  void pass(Micros time) {
    const Micros until = clock + time;
    while (!alarms.empty() && alarms.begin()->first <= until) {
      clock = std::max(clock, alarms.begin()->first);
      const auto then = std::move(alarms.begin()->second);
      alarms.erase(alarms.begin());
      then();
    }
    clock = until;
  }
};

inline BalancerConfig plain_terms(Idempotency effect = Idempotency::idempotent) {
  BalancerConfig config;
  TrafficClass traffic_class;
  traffic_class.attempt_latency_objective = 400 * kMs;
  traffic_class.client_timeout = 2 * kS;
  traffic_class.message_latency_objective = 150 * kMs;
  traffic_class.window = 5 * kS;
  traffic_class.idempotency = effect;
  config.traffic_classes = {traffic_class};
  config.max_attempts = 4;
  config.may_cancel_attempts = config.may_advise = true;
  config.longest_advice = kS;
  config.ask_within = 10 * kS;
  config.step = kMs;
  config.fall_window = 2 * kS;
  config.warm_up = 20 * kS;
  config.fall_multiple = 3;
  config.cold_from = 0.2;
  return config;
}

inline BalancerConfig probing_terms(unsigned relay_count) {
  BalancerConfig config = plain_terms();
  config.may_probe = true;
  config.probe_price = 0.002;
  config.relay_count = relay_count;
  return config;
}

// A relay on a fake host with some ready backends, and short words for what happens to it.
struct BalancerFixture {
  RecordingActions actions;
  Balancer balancer;
  std::vector<std::shared_ptr<Backend>> backends;
  std::vector<std::shared_ptr<Session>> sessions;

  explicit BalancerFixture(std::size_t count, const BalancerConfig& config = plain_terms())
      : balancer(actions, config, 7) {
    for (std::size_t i = 0; i < count; ++i) add(0);
  }
  Backend& add(Micros since, std::optional<unsigned> zone = {}) {
    backends.push_back(std::make_shared<Backend>());
    backends.back()->name = 1000 + backends.size();
    backends.back()->zone = zone.value_or(static_cast<unsigned>(backends.size() % 2));
    balancer.update_endpoint(backends.back(), EndpointState::ready, 1, since);
    return *backends.back();
  }
  void list(std::size_t index, EndpointState state) {
    balancer.update_endpoint(backends[index], state, 1, backends[index]->started_at);
  }
  Session& fresh(std::uint64_t key) {
    sessions.push_back(std::make_shared<Session>());
    Session& session = *sessions.back();
    session.traffic_class = &balancer.traffic_classes()[0];
    session.client_key = key;
    session.deadline = actions.clock + session.traffic_class->client_timeout;
    return session;
  }
  Session& arrive(std::uint64_t key) {
    Session& session = fresh(key);
    balancer.admit(sessions.back());
    return session;
  }
  Session& open(std::uint64_t key) {
    Session& session = arrive(key);
    if (session.backend) balancer.on_established(session, 20 * kMs);
    return session;
  }
  // Lets time pass while probes are answered: by this backend so, by the others well.
  void answer_health_checks(Backend& odd, AttemptResult result, int rounds) {
    for (int i = 0; i < rounds; ++i) {
      for (Backend* backend : std::exchange(actions.probed, {}))
        balancer.on_health_check_ended(*backend,
                                       {backend == &odd ? result : AttemptResult::succeeded, 10 * kMs}, {});
      actions.pass(20 * kMs);
    }
  }
  void fail(Session& session, AttemptResult result, bool finished = false) {
    balancer.on_attempt_ended(session, {result, 10 * kMs}, finished, {});
  }
  std::size_t sent_to(const Backend& backend) const {
    return static_cast<std::size_t>(std::count_if(actions.sent.begin(), actions.sent.end(),
                                                  [&](const auto& one) { return one.backend == &backend; }));
  }
  std::size_t answers(const Session& session) const {
    const auto declined = std::count_if(actions.declined.begin(), actions.declined.end(),
                                        [&](const auto& one) { return one.first == &session; });
    return static_cast<std::size_t>(declined +
                                    std::count(actions.closed.begin(), actions.closed.end(), &session));
  }
};

// One end of a connection, or a listener, in a story's hand.
class TestSocket {
 public:
  explicit TestSocket(int fd = -1) : fd_(fd) {}
  TestSocket(TestSocket&& other) noexcept
      : fd_(std::exchange(other.fd_, -1)), heard_(std::move(other.heard_)), ended_(other.ended_) {}
  TestSocket& operator=(TestSocket&& other) noexcept {
    std::swap(fd_, other.fd_);
    heard_ = std::move(other.heard_);
    ended_ = other.ended_;
    return *this;
  }
  ~TestSocket() { close(); }

  static TestSocket listening(int port = 0) {
    TestSocket end(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
    const int again = 1;
    if (port > 0) setsockopt(end.fd_, SOL_SOCKET, SO_REUSEADDR, &again, sizeof(again));
    sockaddr_in at = loopback(port);
    bind(end.fd_, reinterpret_cast<sockaddr*>(&at), sizeof(at));
    listen(end.fd_, 4096);
    return end;
  }
  static TestSocket to(int port, int receive_buffer = 0) {
    TestSocket end(socket(AF_INET, SOCK_STREAM, 0));
    if (receive_buffer > 0)
      setsockopt(end.fd_, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof(receive_buffer));
    sockaddr_in at = loopback(port);
    connect(end.fd_, reinterpret_cast<sockaddr*>(&at), sizeof(at));
    fcntl(end.fd_, F_SETFL, O_NONBLOCK);
    return end;
  }
  int port() const {
    sockaddr_in at{};
    socklen_t size = sizeof(at);
    getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size);
    return ntohs(at.sin_port);
  }
  int fd() const { return fd_; }
  TestSocket accept() const { return TestSocket(::accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK)); }
  explicit operator bool() const { return fd_ >= 0; }
  void say(std::string_view text) const { EXPECT_EQ(offer(text), text.size()); }
  std::size_t offer(std::string_view text) const {  // how much the other end takes now
    return static_cast<std::size_t>(
        std::max<ssize_t>(0, ::send(fd_, text.data(), text.size(), MSG_NOSIGNAL)));
  }
  void end_sending() const { shutdown(fd_, SHUT_WR); }
  void close() {
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
  }
  void reset() {
    const linger at_once{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
    close();
  }
  const std::string& heard() {
    char bytes[4096];
    ssize_t got = 0;
    while ((got = recv(fd_, bytes, sizeof(bytes), 0)) > 0)
      heard_.append(bytes, static_cast<std::size_t>(got));
    ended_ = ended_ || got == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
    return heard_;
  }
  bool ended() { return heard(), ended_; }

 private:
  static sockaddr_in loopback(int port) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    at.sin_port = htons(static_cast<std::uint16_t>(port));
    return at;
  }
  int fd_;
  std::string heard_;
  bool ended_ = false;
};

// A relay with some backends and discovery, all on loopback.
struct LoopbackRelay {
  std::vector<TestSocket> backends;
  TestSocket discovery = TestSocket::listening();
  TestSocket watch;  // the relay's at discovery, once it has come
  net::EventLoop event_loop;
  config::RelayConfig start;
  std::unique_ptr<proxy::ProxyServer> proxy;
  int port = 0;

  explicit LoopbackRelay(std::size_t count, std::size_t sockets = 500, const std::string& extra = "",
                         bool opened = true) {
    for (std::size_t i = 0; i < count; ++i) backends.push_back(TestSocket::listening());
    port = TestSocket::listening().port();
    start = config::parse_relay_config(told(sockets, extra));
    if (opened) proxy = std::make_unique<proxy::ProxyServer>(event_loop, start);
  }
  std::string target(std::size_t i, const char* state) const {
    return R"({"uid":"s-)" + std::to_string(i) + R"(","endpoint":"127.0.0.1:)" +
           std::to_string(backends[i].port()) + R"(","az":"a","pod_group":0,"state":")" + state +
           R"(","capacity_hint":1.0,"boot_ms":0})";
  }
  std::string told(std::size_t sockets, const std::string& extra = "") const {
    std::string known;
    for (std::size_t i = 0; i < backends.size(); ++i) {
      if (i > 0) known += ',';
      known += target(i, "active");
    }
    return R"({"name":"n","listen":"127.0.0.1:)" + std::to_string(port) + R"(","discovery":"127.0.0.1:)" +
           std::to_string(discovery.port()) + R"(","seed":"7","limits":{"sockets":)" +
           std::to_string(sockets) + R"(},"known":{"rev":4,"all":true,"targets":[)" + known +
           R"(]},"settings":{"step":1.0,"permissions":{"max_setups":3,"may_cancel":true,"connect_timeout":100},
           "invariants":{"warm_up":9000,"fall":3000,"ask_within":1000},"zones":["a"],"profiles":[{"name":"talk",
           "setup_goal":300.0,"client_timeout":1200.0,"payoff":1.0,"semantics":"idempotent"}])" +
           extra + "}}";
  }
  // Lets the relay run until something holds; false if it does not come to that.
  template <class Holds>
  bool until(const Holds& holds, int milliseconds = 2000) {
    for (const Micros late = event_loop.now() + milliseconds * kMs; event_loop.now() < late;) {
      if (holds()) return true;
      event_loop.turn();
      poll(nullptr, 0, 1);
    }
    return holds();
  }
  TestSocket client(std::string_view line) const {
    TestSocket end = TestSocket::to(port);
    end.say(line);
    return end;
  }
  // The connection on which the next setup comes, at any backend, once its first line is whole.
  TestSocket setup() {
    TestSocket end;
    until([&] {
      for (const TestSocket& backend : backends) {
        if (!end) end = backend.accept();
      }
      return end && end.heard().ends_with("\r\n");
    });
    return end;
  }
  // A client whose tunnel is open, and its backend's end.
  std::pair<TestSocket, TestSocket> open(const std::string& flow) {
    TestSocket here = client("OPEN " + flow + " " + flow + " c=talk,d=1200\r\n");
    TestSocket there = setup();
    there.say("UP r\r\n");
    EXPECT_TRUE(until([&] { return here.heard() == "UP r\r\n"; }));
    return {std::move(here), std::move(there)};
  }
  // Which backend holds that end.
  std::size_t holder(const TestSocket& there) const {
    std::size_t at = 0;
    while (backends.at(at).port() != there.port()) ++at;
    return at;
  }
  // What the relay asks of discovery; an answer to it has begun.
  std::string watched() {
    watch = TestSocket();
    until([&] { return static_cast<bool>(watch = discovery.accept()); }, 3000);
    until([&] { return watch.heard().find("\r\n\r\n") != std::string::npos; });
    watch.say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    return watch.heard();
  }
  // Puts a file in the place of the configuration and has the relay read it, as an operator would.
  void reload(const std::string& text) {
    const std::string path = ::testing::TempDir() + "cherryrail-" + std::to_string(getpid()) + ".json";
    std::ofstream(path) << text;
    event_loop.on_reload([this, path] { proxy->reload(path); });
    std::raise(SIGHUP);
    until([] { return false; }, 20);
    std::remove(path.c_str());
  }
  void list(const std::string& text) {
    if (!watch) watched();
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", text.size() + 1);
    watch.say(size + text + "\n\r\n");
  }
};

}  // namespace cherryrail::testing
