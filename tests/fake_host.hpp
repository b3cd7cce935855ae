// One tiny host for the stories: it notes what the module does and lets time pass.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "brain.hpp"

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

}  // namespace cherryrail::testing
