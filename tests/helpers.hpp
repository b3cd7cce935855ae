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

#include "brain.hpp"
#include "net/door.hpp"

namespace cherryrail::testing {

constexpr Micros kMs = 1000, kS = 1000 * kMs;

struct FakeHost final : Host {
  struct Sent {
    Tunnel* tun;
    Backend* ep;
    Micros limit;
  };
  Micros clock = 100 * kS;
  std::vector<Sent> sent;
  std::vector<std::pair<Tunnel*, Micros>> declined;
  std::vector<Tunnel*> closed, moved, abandoned;
  std::vector<Backend*> probed;
  std::vector<Micros> followed;
  std::vector<std::string> lines;
  std::multimap<Micros, std::function<void()>> alarms;

  Micros now() const override { return clock; }
  void send_setup(Tunnel& tun, Backend& ep, Micros limit) override { sent.push_back({&tun, &ep, limit}); }
  void abandon_setup(Tunnel& tun) override { abandoned.push_back(&tun); }
  void decline(Tunnel& tun, Micros hold_off) override { declined.emplace_back(&tun, hold_off); }
  void close_with_error(Tunnel& tun) override { closed.push_back(&tun); }
  void move(Tunnel& tun) override { moved.push_back(&tun); }
  void probe(Backend& ep) override { probed.push_back(&ep); }
  void follow_list() override { followed.push_back(clock); }
  void wake_at(Micros when, std::function<void()> then) override { alarms.emplace(when, std::move(then)); }
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

inline SiteTerms plain_terms(Effect effect = Effect::repeatable) {
  SiteTerms terms;
  Profile profile;
  profile.setup_goal = 400 * kMs;
  profile.client_timeout = 2 * kS;
  profile.message_goal = 150 * kMs;
  profile.window = 5 * kS;
  profile.effect = effect;
  terms.profiles = {profile};
  terms.max_setups = 4;
  terms.may_abandon = terms.may_advise = true;
  terms.longest_advice = kS;
  terms.ask_within = 10 * kS;
  terms.step = kMs;
  terms.fall_window = 2 * kS;
  terms.warm_up = 20 * kS;
  terms.fall_multiple = 3;
  terms.cold_from = 0.2;
  return terms;
}

inline SiteTerms probing_terms(unsigned relays) {
  SiteTerms terms = plain_terms();
  terms.may_probe = true;
  terms.probe_price = 0.002;
  terms.relays = relays;
  return terms;
}

// A relay on a fake host with some ready backends, and short words for what happens to it.
struct Story {
  FakeHost host;
  Relay relay;
  std::vector<std::shared_ptr<Backend>> eps;
  std::vector<std::shared_ptr<Tunnel>> tuns;

  explicit Story(std::size_t backends, const SiteTerms& terms = plain_terms()) : relay(host, terms, 7) {
    for (std::size_t i = 0; i < backends; ++i) add(0);
  }
  Backend& add(Micros since, std::optional<unsigned> zone = {}) {
    eps.push_back(std::make_shared<Backend>());
    eps.back()->name = 1000 + eps.size();
    eps.back()->zone = zone.value_or(static_cast<unsigned>(eps.size() % 2));
    relay.list_entry(eps.back(), Standing::ready, 1, since);
    return *eps.back();
  }
  void list(std::size_t index, Standing standing) {
    relay.list_entry(eps[index], standing, 1, eps[index]->since);
  }
  Tunnel& fresh(std::uint64_t key) {
    tuns.push_back(std::make_shared<Tunnel>());
    Tunnel& tun = *tuns.back();
    tun.profile = &relay.profiles()[0];
    tun.client_key = key;
    tun.expires_at = host.clock + tun.profile->client_timeout;
    return tun;
  }
  Tunnel& arrive(std::uint64_t key) {
    Tunnel& tun = fresh(key);
    relay.take(tuns.back());
    return tun;
  }
  Tunnel& open(std::uint64_t key) {
    Tunnel& tun = arrive(key);
    if (tun.ep) relay.established(tun, 20 * kMs);
    return tun;
  }
  // Lets time pass while probes are answered: by this backend so, by the others well.
  void probe(Backend& odd, Result result, int rounds) {
    for (int i = 0; i < rounds; ++i) {
      for (Backend* ep : std::exchange(host.probed, {}))
        relay.probe_ended(*ep, {ep == &odd ? result : Result::opened, 10 * kMs}, {});
      host.pass(20 * kMs);
    }
  }
  void fail(Tunnel& tun, Result result, bool finished = false) {
    relay.setup_ended(tun, {result, 10 * kMs}, finished, {});
  }
  std::size_t sent_to(const Backend& ep) const {
    return static_cast<std::size_t>(
        std::count_if(host.sent.begin(), host.sent.end(), [&](const auto& one) { return one.ep == &ep; }));
  }
  std::size_t answers(const Tunnel& tun) const {
    const auto declined = std::count_if(host.declined.begin(), host.declined.end(),
                                        [&](const auto& one) { return one.first == &tun; });
    return static_cast<std::size_t>(declined + std::count(host.closed.begin(), host.closed.end(), &tun));
  }
};

// One end of a connection, or a listener, in a story's hand.
class End {
 public:
  explicit End(int fd = -1) : fd_(fd) {}
  End(End&& other) noexcept
      : fd_(std::exchange(other.fd_, -1)), heard_(std::move(other.heard_)), ended_(other.ended_) {}
  End& operator=(End&& other) noexcept {
    std::swap(fd_, other.fd_);
    heard_ = std::move(other.heard_);
    ended_ = other.ended_;
    return *this;
  }
  ~End() { close(); }

  static End listening(int port = 0) {
    End end(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
    const int again = 1;
    if (port > 0) setsockopt(end.fd_, SOL_SOCKET, SO_REUSEADDR, &again, sizeof(again));
    sockaddr_in at = loopback(port);
    bind(end.fd_, reinterpret_cast<sockaddr*>(&at), sizeof(at));
    listen(end.fd_, 4096);
    return end;
  }
  static End to(int port, int receive_buffer = 0) {
    End end(socket(AF_INET, SOCK_STREAM, 0));
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
  End accept() const { return End(::accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK)); }
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
struct Town {
  std::vector<End> backends;
  End discovery = End::listening();
  End watch;  // the relay's at discovery, once it has come
  net::Loop loop;
  net::Start start;
  std::unique_ptr<net::Door> door;
  int port = 0;

  explicit Town(std::size_t count, std::size_t sockets = 500, const std::string& extra = "",
                bool opened = true) {
    for (std::size_t i = 0; i < count; ++i) backends.push_back(End::listening());
    port = End::listening().port();
    start = net::read_start_text(told(sockets, extra));
    if (opened) door = std::make_unique<net::Door>(loop, start);
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
    for (const Micros late = loop.now() + milliseconds * kMs; loop.now() < late;) {
      if (holds()) return true;
      loop.turn();
      poll(nullptr, 0, 1);
    }
    return holds();
  }
  End client(std::string_view line) const {
    End end = End::to(port);
    end.say(line);
    return end;
  }
  // The connection on which the next setup comes, at any backend, once its first line is whole.
  End setup() {
    End end;
    until([&] {
      for (const End& backend : backends) {
        if (!end) end = backend.accept();
      }
      return end && end.heard().ends_with("\r\n");
    });
    return end;
  }
  // A client whose tunnel is open, and its backend's end.
  std::pair<End, End> open(const std::string& flow) {
    End here = client("OPEN " + flow + " " + flow + " c=talk,d=1200\r\n");
    End there = setup();
    there.say("UP r\r\n");
    EXPECT_TRUE(until([&] { return here.heard() == "UP r\r\n"; }));
    return {std::move(here), std::move(there)};
  }
  // Which backend holds that end.
  std::size_t holder(const End& there) const {
    std::size_t at = 0;
    while (backends.at(at).port() != there.port()) ++at;
    return at;
  }
  // What the relay asks of discovery; an answer to it has begun.
  std::string watched() {
    watch = End();
    until([&] { return static_cast<bool>(watch = discovery.accept()); }, 3000);
    until([&] { return watch.heard().find("\r\n\r\n") != std::string::npos; });
    watch.say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    return watch.heard();
  }
  // Puts a file in the place of the configuration and has the relay read it, as an operator would.
  void reload(const std::string& text) {
    const std::string path = ::testing::TempDir() + "cherryrail-" + std::to_string(getpid()) + ".json";
    std::ofstream(path) << text;
    loop.on_reload([this, path] { door->reload(path); });
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
