// Every decision of cherryrail: a front reports what happens, and the Balancer answers through its Host
// alone. The interface is src/brain.hpp; why it is so is in docs/design.md. The ordinary path: landing by
// load-capped rendezvous hashing with warm-up, the next-ranked backend after a failed setup, and a bounded
// pool of movers for what sits on a draining backend. Beside it stand:
//   1. the sequential test that sets an ill backend aside, against its peers, and the doubling trickle back;
//   2. silence and lateness: what answers nothing, or is late by itself or its way, is emptied as on a drain;
//   3. probes, paid from a purse that new clients fill;
//   4. room: strain teaches what a backend can carry; what is over moves, what fits nowhere is declined;
//   5. cold backends: what ranks them first by their warm share, and for all else turns by their start time;
//   6. home: backends in the relay's own zone weigh more, as far as the zone's size bears.
#include "balancer/balancer.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>
#include <utility>

#include "balancer/hash.hpp"

namespace cherryrail {
namespace {

constexpr Micros kSecond = 1'000'000;

constexpr double kCapFactor = 1.25;   // of the mean load, as the design has it
constexpr double kWideCapFactor = 2;  // the same in the own zone while calm; in strain the most for any
constexpr double kCapFloor = 2;       // tunnels; the design's floor
constexpr double kCalmLoad = 0.5, kFullLoad = 0.8, kOverLoad = 0.9;  // told: less is calm, more is full
constexpr double kDeepCut = 0.7, kSlightCut = 0.93;  // of the load, at messages past all goals and past one
constexpr double kHomeZone = 8;     // times the weight for a backend that is not across a zone
constexpr double kStorm = 8;        // times what comes again in two seconds is more than what is held
constexpr double kStranger = 11;    // tunnels' worth of room more for the first of a group
constexpr double kColdPart = 0.67;  // of the multiple that a cold backend bears, all that is sent on purpose
constexpr double kOneLess = 0.1;    // of a tunnel, shed beside a cut
constexpr double kUnknown = 0.5;    // of the known room, where most known are strained
constexpr double kFewKnown = 3;     // of fewer backends no relay tells that strain is general
constexpr double kNoLimit = 1e300;
constexpr double kAlike = 0.1, kInTime = 0.7;  // of a message time, those that differ by less; of its goal
constexpr double kMostOf = 0.6;                // of what is known in a zone
constexpr Micros kLateShortest = 3 * kSecond, kLateLongest = 24 * kSecond;
constexpr Micros kCutEvery = 9 * kSecond / 10;
constexpr double kIllShare = 0.9;    // an ill backend fails this share of what it gets
constexpr double kAsideDoubt = 6.5;  // about 1 in 700 to set a healthy one aside
constexpr unsigned kWinsToReturn = 3, kSilentAfter = 4, kAlikeRow = 2;  // successes; no answers; late alike
constexpr Micros kMoverTime = kSecond, kQueueFullWait = kSecond / 10;   // at most, for a move and for space
constexpr Micros kAskAgain = kSecond / 4;     // after a first failed call for the list, where few relays ask
constexpr unsigned kFewAsk = 4;               // so many relays do not crowd the list's service
constexpr Micros kAskMost = 4 * kSecond;      // of the six in which a change counts as told; the call has two
constexpr Micros kEndMost = 9 * kSecond / 4;  // within it all are asked to leave a relay that ends
constexpr Micros kTrickleStart = kSecond, kTrickleLongest = 5 * kSecond;
constexpr double kProbeBudget = 0.002;  // of the result, spent on probes

// The lower the better; weights shift shares as the logarithm method of weighted rendezvous hashing does. The
// logarithm is taken only where this bound from below does not settle it: a fleet is ranked for every setup.
double exact_rank(const Backend& backend) { return -std::log(backend.draw) / backend.weight; }
double least_rank(const Backend& backend) { return (1 - backend.draw) / backend.weight; }

// The group's place in the order in which this backend's room is given out, 0 first; the same at every relay.
double standing_of(const Session& session, const Backend& backend) {
  return uniform_draw(mix_hash(session.hash_key), backend.place);
}

std::uint64_t key_of(const Session& session) {
  return session.group_key ? session.group_key : session.client_key;
}

bool may_have_run(AttemptResult result) {
  return result != AttemptResult::rejected && result != AttemptResult::connect_failed &&
         result != AttemptResult::not_sent;
}

// Believed longer each time that it comes again soon, forgotten with time.
void believe(LatencyPenalty& late, Micros by, Micros now) {
  if (now >= late.until)
    late.wait = now - late.until < 4 * late.wait ? std::min(2 * late.wait, kLateLongest) : kLateShortest;
  late.by = by, late.until = now + late.wait;
}

}  // namespace

Balancer::Balancer(BalancerActions& host, const BalancerConfig& config, std::uint64_t seed)
    : actions_(host), chance_(static_cast<std::uint32_t>(seed ^ (seed >> 32))),
      traffic_classes_(config.traffic_classes), relay_count_(std::max(1u, config.relay_count)),
      me_(config.me), zone_(config.zone), max_attempts_(config.max_attempts),
      list_on_request_(config.list_on_request), may_probe_(config.may_probe),
      may_cancel_attempts_(config.may_cancel_attempts), may_advise_(config.may_advise),
      longest_advice_(config.longest_advice), ask_within_(config.ask_within), ask_again_(config.ask_again),
      fall_window_(std::max<Micros>(1, config.fall_window)), warm_up_(std::max<Micros>(1, config.warm_up)),
      regrowth_(std::max(warm_up_, 3 * fall_window_) / 2),
      answer_margin_(2 * std::max<Micros>(config.step, 1000)), shortest_goal_(10 * kSecond),
      born_(host.now()), turns_from_(born_), cold_multiple_(config.fall_multiple),
      cold_from_(std::clamp(config.cold_from, 0.01, 1.0)),
      probe_price_(std::max(config.probe_price, kProbeBudget / kPurse)), cross_price_(config.cross_price),
      returned_(kSecond), good_(kSecond), bad_(kSecond), setups_made_(kSecond), setup_time_(kSecond),
      budget_window_(config.budget_window), budget_free_(config.budget_free),
      budget_share_(config.budget_share), taken_(budget_window_ / 63), further_(budget_window_ / 62) {
  double least = 1e300;
  for (const TrafficClass& traffic_class : traffic_classes_) {
    shortest_goal_ =
        std::min(shortest_goal_, std::max<Micros>(traffic_class.attempt_latency_objective, 1000));
    shortest_message_ = std::min(shortest_message_, traffic_class.message_latency_objective);
    longest_message_ = std::max(longest_message_, traffic_class.message_latency_objective);
    end_over_ = std::min(kEndMost, std::max(end_over_, 3 * traffic_class.client_timeout / 4));
    if (traffic_class.priority_weight > 0) least = std::min(least, traffic_class.priority_weight);
    usual_payoff_ += traffic_class.priority_weight / static_cast<double>(traffic_classes_.size());
  }
  // Until loads are told, a profile is taken to load a backend as it pays: the dearest are seldom light.
  for (const TrafficClass& traffic_class : traffic_classes_)
    profile_load_.push_back(std::max(1.0, traffic_class.priority_weight / least));
  profile_told_.assign(traffic_classes_.size(), 0);
  for (const double share : config.tenant_shares) tenant_part_.push_back(share / relay_count_);
  tenant_held_.assign(tenant_part_.size(), 0);
  if (list_on_request_) actions_.watch_endpoints();
  look_from_ = chance_() % 1024;
  schedule_health_checks();
}

// ---- The list -------------------------------------------------------------------------------------------

void Balancer::update_endpoint(const std::shared_ptr<Backend>& backend, EndpointState state, double size,
                               Micros started_at) {
  const bool known = std::find(backends_.begin(), backends_.end(), backend) != backends_.end();
  if (!known && state != EndpointState::gone) backends_.push_back(backend);
  backend->place = mix_hash(backend->name + 0x9e3779b97f4a7c15ULL);
  if (known && started_at > backend->reported_started_at) restarted(*backend);
  backend->size = size > 0 ? size : 0;
  if (!known || started_at != backend->reported_started_at)
    backend->started_at = backend->reported_started_at = started_at;
  if (!known && backend->disabled_by_operator) backend->disabled_at = actions_.now();
  backend->reported_state = state;
  stands(*backend);
  if (state == EndpointState::gone && backend->sessions.empty()) std::erase(backends_, backend);
}

void Balancer::stands(Backend& backend) {
  const bool out = backend.disabled_by_operator && backend.reported_state == EndpointState::ready;
  backend.state = out ? EndpointState::draining : backend.reported_state;
  if (backend.state == EndpointState::ready) return;
  queue_moves(backend, out                                        ? "is disabled"
                       : backend.state == EndpointState::draining ? "is draining"
                                                                  : "is gone");
}

void Balancer::restarted(Backend& backend) {
  backend.failure_log_odds = 0, backend.is_ejected = false, backend.capacity_limit = kNoLimit;
  backend.late.until = std::min(backend.late.until, actions_.now());
}

// Danger: what an operator calls back was most likely restarted: cold, unless the list told a start since.
void Balancer::set_disabled(Backend& backend, bool disabled_by_operator) {
  if (std::exchange(backend.disabled_by_operator, disabled_by_operator) == disabled_by_operator) return;
  actions_.log("backend " + std::to_string(backend.name) +
               (disabled_by_operator ? " disabled by operator" : " enabled by operator"));
  if (disabled_by_operator) {
    backend.disabled_at = actions_.now();
  } else {
    if (backend.reported_started_at < backend.disabled_at) backend.started_at = actions_.now();
    restarted(backend);
  }
  stands(backend);
}

void Balancer::on_endpoints_updated() { list_failures_ = 0; }

// Danger: the list is one service: asked by many as soon as by a few, it serves no call before that has
// waited in vain. Where it is this relay's own, it asks at once: what that has to tell counts as told.
void Balancer::on_discovery_failed(Micros most) {
  if (!list_on_request_) return;
  const Micros within = ask_within_ > 0 ? std::min(ask_within_, kAskMost) : kAskMost;
  const Micros few = std::min(within / 4, kAskAgain) << std::min(list_failures_++, 6u);
  const Micros own = ask_again_ > 0 ? ask_again_ : std::min(within / 4, few);
  const Micros wait = ask_again_ > 0 || relay_count_ <= kFewAsk
                          ? jittered(std::min(most, own))
                          : spread(std::min({most, within, few / kFewAsk * relay_count_}));
  actions_.call_at(actions_.now() + wait, [this] { actions_.watch_endpoints(); });
}

Micros Balancer::spread(Micros most) { return std::uniform_int_distribution<Micros>(0, most)(chance_); }

Micros Balancer::jittered(Micros most) {
  return static_cast<Micros>(std::uniform_real_distribution(0.5, 1.0)(chance_) * static_cast<double>(most));
}

// ---- Landing --------------------------------------------------------------------------------------------

void Balancer::admit(const std::shared_ptr<Session>& session) {
  taken_.add(actions_.now(), 1);
  if (session->is_reconnecting)
    returned_.add(actions_.now(), 1);
  else
    ++new_clients_, purse_ = std::min(kPurse, purse_ + kProbeBudget / probe_price_);
  if (!session->client_key) session->client_key = (std::uint64_t{chance_()} << 32) | chance_();
  session->hash_key = key_of(*session);
  // Rule 1: whatever else goes wrong, the client hears from us before it stops waiting.
  actions_.call_at(session->deadline - answer_margin_, [this, weak = session->weak_from_this()] {
    if (const auto late = weak.lock()) give_up(*late);
  });
  place(*session);
}

void Balancer::place(Session& session) {
  while (session.attempts < max_attempts_ && session.deadline - actions_.now() > 3 * answer_margin_ &&
         budget_allows(session)) {
    Backend* backend = choose(session);
    if (!backend) break;
    session.tried_backends.push_back(backend);
    if (launch(session, *backend)) return;
  }
  give_up(session);
}

// Rendezvous order over the ready backends; each looser than the last: under the cap, over it, set aside.
Backend* Balancer::choose(Session& session) {
  const Micros now = actions_.now();
  Backend* best[3] = {};
  double best_rank[3] = {};
  caps_ = caps_now(), session.cold = session.full = 0;
  const double load = expected_load(session);
  if (is_shutting_down_ || (caps_.strained && over_share(session))) return nullptr;
  const bool strict = caps_.most_strained || caps_.tunnels_each < kCapFloor || caps_.ready < kFewKnown;
  rank(session);
  for (const auto& backend : backends_) {
    if (backend->state != EndpointState::ready || (best[0] && least_rank(*backend) >= best_rank[0])) continue;
    if (!effect_allows(session, *backend) || (!cold_budget_allows(session, *backend) && ++session.cold))
      continue;
    if (std::find(session.tried_backends.begin(), session.tried_backends.end(), backend.get()) !=
        session.tried_backends.end())
      continue;
    // A group costs a backend more than its members do: where room is short, it takes in no new one lightly.
    const double extra = backend->groups.contains(session.hash_key) ? 0
                         : backend.get() == session.first           ? std::min(kStranger, caps_.tunnels_each)
                                                                    : kStranger;
    const bool fit = session.is_mid_flow || fits(backend->load + load * extra, load, session, *backend);
    const bool wide = backend->zone == zone_ && caps_.home > 1 && backend->told < kCalmLoad;
    const bool over = !session.is_mid_flow && over_cap(*backend, wide ? kWideCapFactor : kCapFactor);
    // Danger: what strained backends shed would all go to the one not yet strained, and down it in its turn.
    // So it takes twice the mean at most, and one that was strained but is under the cap takes its part.
    if (over && caps_.strained && over_cap(*backend, kWideCapFactor)) continue;
    if (!fit && (strict || over || cut_within(*backend, 2 * kCutEvery)) && ++session.full) continue;
    const int tier = backend->is_ejected && now < backend->next_recovery_attempt_at ? 2
                     : over || !fit                                                 ? 1
                                                                                    : 0;
    if (too_late(session, *backend)) continue;
    const double rank = exact_rank(*backend);
    if (!best[tier] || rank < best_rank[tier]) best[tier] = backend.get(), best_rank[tier] = rank;
  }
  return best[0] ? best[0] : best[1] ? best[1] : best[2];
}

void Balancer::rank(Session& session) {
  session.first = nullptr;
  double least = 0;
  for (const auto& backend : backends_) {
    if (backend->state != EndpointState::ready) continue;
    backend->draw = uniform_draw(session.hash_key, backend->place);
    backend->weight = (backend->size > 0 ? backend->size : caps_.mean_size * 0.01) *
                      slow_start_factor(*backend) * (backend->zone == zone_ ? caps_.home : 1);
    if (session.first && least_rank(*backend) >= least) continue;
    const double rank = exact_rank(*backend);
    if (!session.first || rank < least) session.first = backend.get(), least = rank;
  }
  if (session.first && session.is_reconnecting && session.group_key && slow_start_factor(*session.first) < 1)
    deal_out(session);
}

// Danger: a large group comes again at once, at many relays that each know one of it, and the cold backend
// that ranks first gets it all. So it is dealt out over the cold ones in its order, in parts that one bears
// of a group as large as a warm backend's whole load; the rest goes to the warm.
void Balancer::deal_out(Session& session) {
  const double part = std::min(1.0, bears_cold() * slow_start_factor(*session.first));
  const auto place =
      static_cast<std::size_t>(uniform_draw(mix_hash(session.client_key), ~session.hash_key) / part);
  if (place == 0) return;
  std::vector<std::pair<double, Backend*>> cold;
  for (const auto& backend : backends_)
    if (backend->state == EndpointState::ready && slow_start_factor(*backend) < 1)
      cold.emplace_back(exact_rank(*backend), backend.get());
  session.first = nullptr;
  if (place >= cold.size()) return;
  std::sort(cold.begin(), cold.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
  Backend &before = *cold[0].second, &first = *cold[place].second;  // they change places in its order
  std::swap(before.draw, first.draw), std::swap(before.weight, first.weight);
  session.first = &first;
}

// Of its present capacity, what a cold backend is sent on purpose within a fall window.
double Balancer::bears_cold() const {
  const double window = static_cast<double>(fall_window_), warming = static_cast<double>(warm_up_);
  return kColdPart * cold_multiple_ * std::min(1.0, window / warming);
}

// How much of its full capacity a backend surely has: from the cold share up, evenly over the warm-up.
double Balancer::slow_start_factor(const Backend& backend) const {
  if (backend.started_at <= 0) return 1;
  const double age = static_cast<double>(actions_.now() - backend.started_at) / static_cast<double>(warm_up_);
  return std::clamp(cold_from_ + (1 - cold_from_) * age, cold_from_, 1.0);
}

Balancer::FleetLoad Balancer::caps_now() const {
  FleetLoad caps;
  const Micros now = actions_.now();
  caps.calm = static_cast<double>(new_clients_) / static_cast<double>(now - born_ + fall_window_);
  double load = 0, home = 0, whole = 0, warm = 0, told = 0, busy = 0, known = 0, cut = 0, capacity_limit = 0,
         full = 0, zones = 0;
  std::vector<bool> seen;
  for (const auto& backend : backends_) {
    if (backend->state != EndpointState::gone) caps.reported_state += backend->size;
    if (backend->state != EndpointState::ready || backend->is_ejected) continue;
    if (seen.size() <= backend->zone) seen.resize(backend->zone + 1);
    zones += !seen[backend->zone], seen[backend->zone] = true;
    told += backend->told > 0, busy += backend->told;
    const double size = backend->size * slow_start_factor(*backend);
    home += backend->zone == zone_ ? size : 0;
    warm += size, whole += backend->size;
    // Danger: measured with those late by themselves, the few in time seem full, and nothing moves there.
    if (lateness(*backend) > 0) continue;
    ++caps.ready;
    caps.size += size;
    load += backend->load;
    caps.tunnels_each += static_cast<double>(backend->sessions.size());
    caps.strained |= cut_within(*backend, regrowth_);
    const bool lately = !backend->is_capacity_inferred &&
                        cut_within(*backend, backend->sessions.empty() ? regrowth_ : 2 * kCutEvery);
    known += lately || !backend->sessions.empty() ||
             (backend->last_calm_report_at > 0 && now - backend->last_calm_report_at < regrowth_);
    if (lately)
      ++cut, capacity_limit += std::min(current_capacity(*backend), backend->full), full += backend->full;
  }
  // Danger: a relay that has just started holds nothing, and one report of strain would close it for all.
  caps.most_strained = (known >= kFewKnown && 3 * cut >= 2 * known) || now < strained_until_;
  caps.room_left = full > 0 ? capacity_limit / full : 1;
  caps.mean_size = whole > 0 ? whole / std::max(1.0, caps.ready) : 1;
  caps.tunnels_each /= std::max(1.0, caps.ready);
  caps.told = told > 0 ? std::clamp(busy / told, kCalmLoad, kFullLoad) : kFullLoad;
  // Danger: a zone with few backends drowns in its own clients, and with few tunnels held no cap shows it. So
  // home gets no more of them than its part of the fleet bears, were clients spread evenly over the zones.
  if (cross_price_ > 0 && home > 0 && home < warm) {
    const double part = home / warm, own = std::min(0.99, part * zones);
    caps.home = std::clamp(own / (1 - own) * (1 - part) / part, 1.0, kHomeZone);
    const bool storm = kStorm * (returned_.sum(now, 2) - 1) > static_cast<double>(held_);
    if (storm || (strained_until_ > 0 && now < strained_until_ + 2 * warm_up_)) caps.home = 1;
  }
  caps.load_by_size = caps.size > 0 ? load / caps.size : 0;
  return caps;
}

bool Balancer::over_cap(const Backend& backend, double factor) const {
  const double cap = factor * caps_.load_by_size * backend.size * slow_start_factor(backend);
  return backend.load >= std::max(cap, kCapFloor * tunnel_load());
}

// Danger: each relay sends a fresh backend a little, and together they push it over. What ranks it first is
// its part by its warm share: over all relays the sum is right without talk, thinned by an agreed draw where
// all that is listed would come to more. For all else windows since its start are dealt out: in each, so many
// relays have a turn as it bears tunnels more. One that has just started sits out a turn that began before.
bool Balancer::cold_budget_allows(const Session& session, const Backend& backend) const {
  const double warm = slow_start_factor(backend), relay_count = relay_count_;
  if (warm >= 1) return true;
  const double whole = std::max(caps_.reported_state * caps_.told, 1e-9), bears = bears_cold();
  const double sessions = bears * static_cast<double>(held_ + 1),
               fresh = kColdPart * cold_multiple_ * caps_.calm;
  // Of what comes again, as much as would be borne were it all that is held; of the rest, all or nothing.
  const double come = returned_.sum(actions_.now(), 1 + fall_window_ / kSecond) * whole;
  const bool borne =
      session.is_reconnecting
          ? uniform_draw(mix_hash(session.client_key), backend.place) * come < sessions * caps_.size
          : kColdPart * cold_multiple_ * caps_.size >= whole;
  if (session.first == &backend && borne && actions_.now() >= turns_from_) return true;
  const std::int64_t turn = cold_turn(backend);
  if (backend.started_at + turn * fall_window_ < turns_from_) return false;
  const double part = warm * backend.size / whole;
  const double budget = part * relay_count * std::max(sessions, fresh * static_cast<double>(fall_window_));
  const auto turns = static_cast<std::int64_t>(std::clamp(budget, 1.0, relay_count));
  if ((me_ + turn * turns) % relay_count_ >= turns) return false;
  return (backend.cold_turn == turn ? backend.cold_sent + 1.0 : 1.0) <=
         std::max(1.0, budget / static_cast<double>(turns));
}

std::int64_t Balancer::cold_turn(const Backend& backend) const {
  return std::max<Micros>(0, actions_.now() - backend.started_at) / fall_window_;
}

// Rule 2: an effect that may have happened is repeated only where the repeat is known, while it is known.
bool Balancer::effect_allows(const Session& session, const Backend& backend) const {
  if (!session.may_have_run_on || session.traffic_class->idempotency == Idempotency::idempotent) return true;
  if (session.traffic_class->idempotency == Idempotency::non_idempotent) return false;
  if (actions_.now() + answer_margin_ >= session.may_have_run_since + session.traffic_class->window)
    return false;
  const DeduplicationScope scope = session.traffic_class->scope;
  if (scope == DeduplicationScope::all) return true;
  return scope == DeduplicationScope::zone ? backend.zone == session.may_have_run_on->zone
                                           : backend.cell == session.may_have_run_on->cell;
}

// Rule 5: in any window, setups beyond a tunnel's first are so many and a share of the tunnels taken in it.
// Half is for whoever needs it, the rest for what pays no less than most. The rings err on the safe side.
bool Balancer::budget_allows(const Session& session) const {
  if (budget_window_ <= 0 || session.attempts == 0) return true;
  const double allowed = budget_free_ + budget_share_ * taken_.sum(actions_.now(), 62);
  const double spent = further_.sum(actions_.now());
  return spent + 1 <= allowed &&
         (2 * spent < allowed || session.traffic_class->priority_weight >= usual_payoff_);
}

// Danger: a connection may be long in coming up, and what allowed its setup has ended meanwhile.
bool Balancer::may_still_send(const Session& session, const Backend& backend) const {
  return !session.is_answered && backend.state == EndpointState::ready && effect_allows(session, backend);
}

// The one place where a setup leaves.
bool Balancer::launch(Session& session, Backend& backend) {
  if (session.backend || session.attempts >= max_attempts_ || !may_still_send(session, backend))
    return false;  // rules 1 to 3, never two
  if (!cold_budget_allows(session, backend) || !budget_allows(session)) return false;  // rules 4 and 5
  if (backend.started_at > 0) {
    const std::int64_t turn = cold_turn(backend);
    backend.cold_sent = backend.cold_turn == turn ? backend.cold_sent + 1 : 1;
    backend.cold_turn = turn;
  }
  session.attempt_started_at = actions_.now();
  if (backend.is_ejected)
    backend.next_recovery_attempt_at = session.attempt_started_at + backend.recovery_interval;
  if (session.attempts++ > 0) further_.add(session.attempt_started_at, 1);
  hold(session, backend);
  session.next = [this, &session, &backend](const AttemptOutcome& outcome) {
    after_setup(session, backend, outcome);
  };
  actions_.start_attempt(session, backend, setup_limit(session));
  return true;
}

// The setup goal; longer while setups everywhere take longer, for a time-out that strikes healthy backends
// turns a slow spell into a storm (the source's relaxed time-outs).
Micros Balancer::setup_limit(const Session& session) const {
  const double made = setups_made_.sum(actions_.now());
  const Micros usual = made > 0 ? static_cast<Micros>(4 * setup_time_.sum(actions_.now()) / made) : 0;
  return std::min(std::max(session.traffic_class->attempt_latency_objective, usual),
                  session.deadline - actions_.now() - 2 * answer_margin_);
}

void Balancer::measured(Micros duration) {
  setups_made_.add(actions_.now(), 1);
  setup_time_.add(actions_.now(), static_cast<double>(duration));
}

void Balancer::after_setup(Session& session, Backend& backend, const AttemptOutcome& outcome) {
  if (outcome.result == AttemptResult::not_sent && session.attempts > 1)
    further_.add(session.attempt_started_at, -1);  // it never left
  if (way_time(backend) == 0) {                    // else it is the way's fault
    if (outcome.result == AttemptResult::connect_failed) record_no_response(backend);
    // Danger: setups cost work; sent on to a backend that drops or starves them, they keep it down.
    if (outcome.result == AttemptResult::reset) dropped(backend);
    if (outcome.result == AttemptResult::timed_out)
      reduce_capacity(backend, 1), measured(2 * outcome.duration);  // it takes longer
    if (outcome.result != AttemptResult::not_sent && outcome.result != AttemptResult::cancelled)
      record_outcome(backend, false);
  }
  if (may_have_run(outcome.result) && !session.may_have_run_on)
    session.may_have_run_on = &backend, session.may_have_run_since = session.attempt_started_at;
  if (!session.is_answered) place(session);
}

// ---- The final answer -----------------------------------------------------------------------------------

// Not opened: declined where that tells the truth (nothing happened, or a repeat does no harm).
void Balancer::give_up(Session& session) {
  if (session.is_answered) return;
  if (session.backend && may_cancel_attempts_) actions_.cancel_attempt(session);
  const TrafficClass& traffic_class = *session.traffic_class;
  const bool unsure = session.may_have_run_on || session.backend;  // a setup still out may run yet
  const bool harmless = traffic_class.idempotency == Idempotency::idempotent || !unsure ||
                        (traffic_class.idempotency == Idempotency::idempotency_key &&
                         traffic_class.scope == DeduplicationScope::all);
  answer(session, harmless ? FinalAnswer::rejected : FinalAnswer::failed);
}

// The one place where a final answer leaves; it can happen once.
void Balancer::answer(Session& session, FinalAnswer how) {
  if (session.is_answered) return;
  session.is_answered = true;
  if (how == FinalAnswer::rejected)
    actions_.reject_session(session, may_advise_ ? jittered(longest_advice_ / 2) : 0);
  if (how == FinalAnswer::failed) actions_.fail_session(session);
}

void Balancer::on_established(Session& session, Micros duration) {
  if (session.is_answered || !session.backend) return;
  if (way_time(*session.backend) == 0) measured(duration);
  record_response(*session.backend);
  record_outcome(*session.backend, true);
  opened(session);
}

void Balancer::adopt(const std::shared_ptr<Session>& session, const std::shared_ptr<Backend>& backend) {
  session->hash_key = key_of(*session);
  hold(*session, *backend);
  opened(*session);
}

void Balancer::opened(Session& session) {
  answer(session, FinalAnswer::established);
  session.open = true;
  ++open_;
  session.next = [this, backend = session.backend.get()](const AttemptOutcome& outcome) {
    // A backend that drops open tunnels is overdriven or dying; one told to leave may do as it likes.
    if (outcome.result != AttemptResult::reset || backend->state != EndpointState::ready) return;
    dropped(*backend);
    // All lost in one moment is a broken link or process: that teaches nothing about room.
    if (std::none_of(backend->sessions.begin(), backend->sessions.end(),
                     [](const Session* other) { return other->open; }) &&
        cut_within(*backend, shortest_goal_ / 10))
      backend->capacity_limit = kNoLimit;
    record_outcome(*backend, false);
  };
  if (session.backend->state != EndpointState::ready || is_shutting_down_) queue_move(session), run_movers();
}

void Balancer::on_attempt_ended(Session& session, const AttemptOutcome& outcome, bool finished,
                                const LoadReport& report) {
  if (!session.backend) return;
  const auto backend = session.backend;
  record_load_report(*session.backend, report);
  let_go(session);
  const auto next = std::exchange(session.next, nullptr);
  if (finished && !session.is_answered) {
    session.is_answered = true;
    if (outcome.result == AttemptResult::succeeded) record_outcome(*backend, true);
    return;
  }
  if (next) next(outcome);
}

void Balancer::on_client_left(Session& session) { session.is_answered = true; }

// ---- What a backend holds -------------------------------------------------------------------------------

// Over its share a tenant's tunnels are worth little: where room is short they yield first.
bool Balancer::over_share(const Session& session) const {
  return session.tenant < tenant_part_.size() && tenant_part_[session.tenant] > 0 &&
         tenant_held_[session.tenant] > tenant_part_[session.tenant];
}

double Balancer::expected_load(const Session& session) const {
  if (session.load_hint) return *session.load_hint;
  const std::size_t index = session.traffic_class->index;
  return profile_load_[index] * (profile_told_[index] ? 1 : load_unit_);
}

void Balancer::on_load_reported(Session& session, double load) {
  if (!session.backend || load <= 0) return;
  const std::size_t index = session.traffic_class->index;
  const bool first =
      std::all_of(profile_told_.begin(), profile_told_.end(), [](unsigned n) { return n == 0; });
  if (!profile_told_[index]) load_unit_ = load / profile_load_[index], profile_load_[index] = load;
  const double part = 1.0 / std::min(64u, ++profile_told_[index]);
  profile_load_[index] += part * (load - profile_load_[index]);
  if (first) {  // what was counted in shares of payoff is counted in work from here on
    held_load_ = 0;
    for (const auto& backend : backends_) {
      backend->load = 0;
      for (Session* other : backend->sessions) backend->load += other->load = expected_load(*other);
      held_load_ += backend->load;
    }
  }
  session.backend->load += load - session.load;
  held_load_ += load - session.load;
  session.load = load;
  record_response(*session.backend);
}

// ---- Health ---------------------------------------------------------------------------------------------

// Wald's sequential test of "fails as its peers do" against "is ill". The peers are the measure: when all
// fail together the cause is shared, and setting the unlucky ones aside would drown the rest.
void Balancer::record_outcome(Backend& backend, bool good) {
  const Micros now = actions_.now();
  const double failed = 0.04 + std::max(0.0, bad_.sum(now) - backend.bad.sum(now));
  const double seen = 2 + failed + std::max(0.0, good_.sum(now) - backend.good.sum(now));
  const double usual = std::clamp(failed / seen, 0.02, 0.95 * kIllShare);
  (good ? backend.good : backend.bad).add(now, 1);
  (good ? good_ : bad_).add(now, 1);
  const double step = good ? std::log((1 - kIllShare) / (1 - usual)) : std::log(kIllShare / usual);
  backend.failure_log_odds = std::clamp(backend.failure_log_odds + step, 0.0, 2 * kAsideDoubt);
  if (backend.is_ejected) {
    backend.recovery_interval =
        good ? backend.recovery_interval / 2 : std::min(2 * backend.recovery_interval, kTrickleLongest);
    backend.next_recovery_attempt_at = now + backend.recovery_interval;
    backend.consecutive_successes = good ? backend.consecutive_successes + 1 : 0;
    if (backend.consecutive_successes >= kWinsToReturn) {
      // Danger: what was silent may have restarted, cold, before the list can say so.
      if (backend.is_unresponsive) backend.started_at = std::max(backend.started_at, now);
      backend.is_ejected = false, backend.failure_log_odds = 0;
      actions_.log("backend " + std::to_string(backend.name) + " recovered");
    }
  } else if (backend.failure_log_odds >= kAsideDoubt &&
             !cut_within(backend, 2 * kCutEvery)) {  // strain is the load's fault: room answers that
    const auto is_ejected = [](const auto& peer) {
      return peer->is_ejected;
    };  // rather one ill than the rest drowned
    if (2 * std::count_if(backends_.begin(), backends_.end(), is_ejected) + 2 <= std::ssize(backends_))
      eject(backend);
  }
}

void Balancer::record_response(Backend& backend) {
  backend.last_response_at = actions_.now(), backend.consecutive_no_responses = 0;
}

// Danger: a backend that goes silent breaks nothing; what it holds would hang until the list says so.
void Balancer::record_no_response(Backend& backend) {
  if (++backend.consecutive_no_responses < kSilentAfter) return;
  const auto heard = [](const auto& peer) {
    return peer->state == EndpointState::ready && !peer->consecutive_no_responses;
  };
  if (std::none_of(backends_.begin(), backends_.end(), heard)) return;
  if (!backend.is_ejected) eject(backend);
  backend.is_unresponsive = true;
  queue_moves(backend, "is unresponsive");
}

// Danger: an open tunnel whose lines bring nothing back looks sound from here, and its client waits for good.
void Balancer::on_session_unresponsive(Session& session) {
  if (!session.backend || session.is_migration_queued) return;
  record_no_response(*session.backend);
  queue_move(session);
  run_movers();
}

void Balancer::eject(Backend& backend) {
  backend.is_ejected = true, backend.is_unresponsive = false, backend.consecutive_successes = 0;
  backend.recovery_interval = kTrickleStart,
  backend.next_recovery_attempt_at = actions_.now() + kTrickleStart;
  actions_.log("backend " + std::to_string(backend.name) + " ejected");
}

void Balancer::on_message_latency_reported(Session& session, Micros message_time) {
  if (!session.backend) return;
  const auto kept = session.backend;  // movers may end the tunnel meanwhile
  Backend& backend = *kept;
  const Micros now = actions_.now();
  record_response(backend);
  if (now - backend.late_at > kSecond / 2) {
    const double change = std::abs(static_cast<double>(message_time - backend.late_by));
    const bool same = message_time > shortest_message_ && now - backend.late_at < 2 * kSecond &&
                      change < kAlike * static_cast<double>(message_time);
    backend.consecutive_similar_latencies = same ? backend.consecutive_similar_latencies + 1 : 0;
    backend.late_by = message_time, backend.late_at = now;
    if (backend.consecutive_similar_latencies >= kAlikeRow) late_by_itself(backend);
    if (backend.zone != zone_ && message_time > shortest_message_) weigh_way(backend.zone);
  }
  if (now < backend.late.until) return;
  // Danger: the mean is in time, yet at half of the goal a part comes late, and more with each that lands.
  if (message_time <= shortest_message_)
    return 2 * message_time > shortest_message_ ? reduce_capacity(backend, 1) : void();
  // Danger: measured by the setup goal, a backend passed for sound while no message on it came in time.
  strained(backend, message_time > 2 * longest_message_ ? kDeepCut : kSlightCut);
}

Micros Balancer::way_time(const Backend& backend) const {
  const auto way = ways_.find(backend.zone);
  return way != ways_.end() ? way->second.at(actions_.now()) : 0;
}

Micros Balancer::lateness(const Backend& backend) const {
  return std::max(backend.late.at(actions_.now()), way_time(backend));
}

bool Balancer::too_late(const Session& session, const Backend& backend) const {
  return static_cast<double>(lateness(backend)) >
         kInTime * static_cast<double>(session.traffic_class->message_latency_objective);
}

// Danger: behind a slow way, or while its process hangs, a backend looks overdriven, yet shedding a part
// helps nobody, and each that lands is lost. Late by the same time again and again, it is late by itself:
// what cannot be in time is moved as on a drain.
void Balancer::late_by_itself(Backend& backend) {
  const auto in_time = [this](const auto& peer) {
    return peer->state == EndpointState::ready && !peer->sessions.empty() && !told_late(*peer);
  };
  if (std::any_of(backends_.begin(), backends_.end(), in_time))
    leave_late(backend), run_movers();  // else not its own
}

bool Balancer::told_late(const Backend& backend) const {
  return backend.late_by > shortest_message_ && actions_.now() - backend.late_at < 2 * kSecond;
}

void Balancer::leave_late(Backend& backend) {
  const Micros now = actions_.now();
  if (now >= backend.late.until) {  // what its first words did to rooms is undone
    actions_.log("backend " + std::to_string(backend.name) + " is a latency outlier");
    strained_until_ = std::min(strained_until_, now);
    for (const auto& peer : backends_)
      if (peer.get() == &backend ? cut_within(backend, 2 * kCutEvery) : peer->is_capacity_inferred)
        peer->capacity_limit = kNoLimit;
  }
  believe(backend.late, backend.late_by, now);
  for (Session* session : backend.sessions)
    if (session->open && too_late(*session, backend)) queue_move(*session);
}

// Most that is held in another zone late by the same time, or by itself, and something at home in time: it is
// the way there, for the untried ones too, and they are not to blame for setups that fail on it.
void Balancer::weigh_way(unsigned zone) {
  const Micros now = actions_.now();
  double known = 0, late = 0;
  Micros least = std::numeric_limits<Micros>::max();
  for (const auto& backend : backends_)
    if (const bool its = now < backend->late.until; backend->zone == zone && (its || told_late(*backend)))
      least = std::min(least, its ? backend->late.by : backend->late_by);
  const auto consecutive_similar_latencies = [least](const Backend& backend) {
    return static_cast<double>(backend.late_by) < (1 + 2 * kAlike) * static_cast<double>(least);
  };
  bool sound = false;
  for (const auto& backend : backends_) {
    if (backend->state != EndpointState::ready) continue;
    if (backend->zone == zone_) sound |= !backend->sessions.empty() && !told_late(*backend);
    if (backend->zone != zone) continue;
    known += now < backend->late.until || !backend->sessions.empty();
    late += now < backend->late.until || (told_late(*backend) && consecutive_similar_latencies(*backend));
  }
  LatencyPenalty& way = ways_[zone];
  const bool again = way.wait > 0 && now - way.until < 4 * way.wait;
  if (!sound || late < (again ? 1 : kFewKnown) || late < kMostOf * known) return;
  believe(way, least, now);
  for (const auto& backend : backends_)
    if (backend->zone == zone && now >= backend->late.until && told_late(*backend) &&
        consecutive_similar_latencies(*backend))
      leave_late(*backend);
  run_movers();
}

void Balancer::strained(Backend& backend, double kept) {
  reduce_capacity(backend, kept);
  hold_others();
  shed_excess_load(backend);
}

// Danger: what an overdriven backend drops lands on its neighbours, until all drop. So strain teaches how
// much this relay may put there, and what fits nowhere is declined.
void Balancer::reduce_capacity(Backend& backend, double kept) {
  const Micros now = actions_.now();
  if (backend.capacity_reduced_at > 0 && now - backend.capacity_reduced_at < kCutEvery) return;
  // Danger: a relay that holds one tunnel there, or has just lost it, would close the backend for good. Less
  // than one tunnel's room is a chance to land, the same at every relay.
  const double sessions = std::max(backend.load, tunnel_load());
  backend.full = backend.capacity_reduced_at > 0 && now - backend.capacity_reduced_at < regrowth_
                     ? std::max(kSlightCut * backend.full, sessions)
                     : sessions;
  const double least = 1 - kOneLess * tunnel_load() / sessions;  // many round up what they shed, one cannot
  backend.capacity_limit = std::min(current_capacity(backend), sessions) * least *
                           (backend.load > 0 ? kept : std::min(kept, kDeepCut));
  backend.capacity_reduced_at = now;
  backend.is_capacity_inferred = false;
}

// Danger: connections break singly, everywhere; each taken for strain would soon close the fleet to all.
void Balancer::dropped(Backend& backend) {
  if (backend.bad.sum(actions_.now(), 2) > 0) reduce_capacity(backend, 1);
}

// What is held and this, less what its standing spares it: where much is held a bound, else an agreed draw.
bool Balancer::fits(double sessions, double load, const Session& session, const Backend& backend) const {
  const double spared =
      (1 - standing_of(session, backend)) * std::min(1.0, load / std::max(backend.full, load));
  return sessions + load * (1 - spared) <= current_capacity(backend);
}

double Balancer::tunnel_load() const { return held_ > 0 ? held_load_ / static_cast<double>(held_) : 1; }

bool Balancer::cut_within(const Backend& backend, Micros time) const {
  return backend.capacity_limit < kNoLimit && actions_.now() - backend.capacity_reduced_at < time;
}

// Back as TCP CUBIC has it: quickly towards what it held when strain began, slowly past that, then out.
double Balancer::current_capacity(const Backend& backend) const {
  if (backend.capacity_limit >= kNoLimit) return kNoLimit;
  const double calm = static_cast<double>(actions_.now() - backend.capacity_reduced_at - 2 * kCutEvery);
  const double bend = 1 - std::max(0.0, calm / static_cast<double>(regrowth_));
  return backend.full - (backend.full - backend.capacity_limit) * bend * bend * bend +
         (bend < 0 ? -bend * bend * bend * backend.full : 0);
}

// Danger: when most of what it knows is strained, what is shed would rush to those not yet cut. So they keep
// what they hold, and the unknown are taken to be as short as the known.
void Balancer::hold_others() {
  const FleetLoad caps = caps_now();
  if (!caps.most_strained) return;
  const Micros now = actions_.now();
  if (now >= strained_until_) {
    strained_until_ = now + regrowth_;
    actions_.log("most known backends overloaded: capacity of the others is inferred");
  }
  for (const auto& peer : backends_) {
    // A cold one that holds nothing here is most likely empty: its own budget bounds it.
    if (peer->sessions.empty() ? slow_start_factor(*peer) < 1 : peer->capacity_limit < kNoLimit) continue;
    peer->is_capacity_inferred = true;  // no evidence: or the verdict would feed on itself
    peer->full = std::max(peer->load, tunnel_load());
    peer->capacity_limit = std::min(current_capacity(*peer),
                                    peer->full * (peer->sessions.empty() ? kUnknown * caps.room_left : 1));
    peer->capacity_reduced_at = now;
  }
}

// Moves what is over the room, in an order all relays agree on: whole groups, first what belongs elsewhere.
void Balancer::shed_excess_load(Backend& backend) {
  // By: over its share, foreign, standing and the group's size here.
  std::vector<std::pair<std::tuple<bool, bool, double>, Session*>> open;
  double kept = backend.load;
  for (Session* session : backend.sessions) {
    if (!session->open && !session->is_migration_queued) continue;
    kept -= session->load;
    if (session->is_migration_queued) continue;
    if (!session->first || session->first->state != EndpointState::ready) rank(*session);
    const unsigned together = backend.groups[session->hash_key];
    const bool foreign = session->first && session->first != &backend && together == 1 &&
                         fits(session->first->load, session->load, *session, *session->first);
    open.push_back({{over_share(*session), foreign, standing_of(*session, backend) - together}, session});
  }
  std::stable_sort(open.begin(), open.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
  for (const auto& [order, session] : open) {
    const bool foreign = std::get<1>(order);
    if (foreign ? kept + session->load <= current_capacity(backend)
                : fits(kept, session->load, *session, backend))
      kept += session->load;
    else
      queue_move(*session);
  }
  run_movers();
}

void Balancer::record_load_report(Backend& backend, const LoadReport& report) {
  if (!report.reported_utilization) return;
  const double told = backend.told = *report.reported_utilization,
               kept = std::max(kDeepCut, kFullLoad / told);
  // Danger: one that is only nearly full serves all in time; moved away, its clients overdrive the next.
  if (told > kFullLoad) return told > kOverLoad ? strained(backend, kept) : reduce_capacity(backend, kept);
  backend.last_calm_report_at = actions_.now();
  // Danger: a rush of setups makes messages late for a moment; rooms cut for it turn clients away for
  // seconds. So a report tells what is borne, by what was held as it was taken.
  const double then = std::max(0.0, backend.load - backend.landed.sum(backend.last_calm_report_at)) /
                      std::max(told, kCalmLoad);
  const double bears = std::max(kFullLoad * then, told < kCalmLoad ? backend.full : 0);
  if (current_capacity(backend) < bears)
    backend.capacity_limit = bears, backend.full = std::max(backend.full, bears);
}

// Danger: many relays each looking at every backend cost more than they learn: looks are paid from a purse
// that new clients fill. Doubt and strain come first, half of it is theirs.
void Balancer::schedule_health_checks() {
  if (!may_probe_) return;
  const Micros now = actions_.now();
  purse_ = std::min(kPurse, purse_ + static_cast<double>(shortest_goal_ / 2) / kSecond / relay_count_);
  const std::size_t from = look_from_;
  for (const bool in_doubt : {true, false}) {
    for (std::size_t i = 0; i < backends_.size(); ++i) {
      Backend& backend = *backends_[(from + i) % backends_.size()];
      if (purse_ < (in_doubt ? 1 : kPurse / 2)) break;
      const bool doubted =
          (backend.failure_log_odds > 0 && bad_.sum(now) > 0) || cut_within(backend, 2 * kCutEvery);
      if (backend.state != EndpointState::ready || backend.is_health_check_pending || in_doubt != doubted)
        continue;
      const Micros due = in_doubt
                             ? backend.last_health_check_at + (backend.is_ejected ? kSecond : shortest_goal_)
                             : std::max(backend.last_health_check_at, backend.last_response_at) + kSecond / 2;
      if (now < due) continue;
      purse_ -= 1;
      backend.is_health_check_pending = true, backend.last_health_check_at = now;
      actions_.check_health(backend);
      if (!in_doubt) look_from_ = (from + i + 1) % backends_.size();
    }
  }
  actions_.call_at(now + shortest_goal_ / 2, [this] { schedule_health_checks(); });
}

void Balancer::on_health_check_ended(Backend& backend, const AttemptOutcome& outcome,
                                     const LoadReport& report) {
  backend.is_health_check_pending = false;
  record_load_report(backend, report);
  if (outcome.result == AttemptResult::rejected) return;  // too many probes there: says nothing
  const bool good = outcome.result == AttemptResult::succeeded;
  good ? record_response(backend) : record_no_response(backend);
  // A good probe shows that the process can be reached, not that it serves: that counts for one set aside as
  // silent; for one set aside as ill it only opens the trickle.
  if (!good || !backend.is_ejected || backend.is_unresponsive) return record_outcome(backend, good);
  backend.next_recovery_attempt_at = std::min(backend.next_recovery_attempt_at, actions_.now());
}

// ---- Movers ---------------------------------------------------------------------------------------------

// The design's sizes, with P the open tunnels that are not themselves waiting to move.
std::size_t Balancer::movers() const {
  const std::size_t p = open_ - queued_;
  return std::max<std::size_t>(1, std::min(p / 2, std::max<std::size_t>(10, p / 3)));
}

// This relay is to end. Danger: asked all at once, clients come again at once, and backends drown in setups.
void Balancer::begin_graceful_shutdown(Micros within) {
  is_shutting_down_ = true;
  for (const auto& backend : backends_)
    for (Session* sessions : backend->sessions)
      actions_.call_at(actions_.now() + spread(within), [this, weak = sessions->weak_from_this()] {
        if (const auto session = weak.lock(); session && session->open) queue_move(*session), run_movers();
      });
}

std::size_t Balancer::queue_limit() const {
  const std::size_t p = std::max<std::size_t>(1, open_ - queued_);
  return std::min(std::max(20 * movers(), p), 5 * p);
}

void Balancer::queue_moves(Backend& backend, const char* why) {
  const std::size_t before = queued_;
  for (Session* session : backend.sessions)
    if (session->open) queue_move(*session);
  if (queued_ > before)
    actions_.log("migrating sessions: backend " + std::to_string(backend.name) + " " + why);
  run_movers();
}

void Balancer::queue_move(Session& session) {
  if (session.is_migration_queued) return;
  const auto self = session.shared_from_this();
  const bool space = queued_ < queue_limit();
  session.is_migration_queued = true;
  ++queued_;
  if (space) return to_move_.push_back(self);
  // Queue full: wait a little for space, then end the connection unqueued, as the source does.
  actions_.call_at(actions_.now() + kQueueFullWait, [this, weak = std::weak_ptr<Session>(self)] {
    const auto waiting = weak.lock();
    if (!waiting || !waiting->open) return;
    if (to_move_.size() >= queue_limit()) return actions_.migrate_session(*waiting);
    to_move_.push_back(weak);
    run_movers();
  });
}

// Danger: a client moved while nothing would take it in is declined; on a backend that drains it is served.
void Balancer::run_movers() {
  std::vector<std::weak_ptr<Session>> stay;
  while (moving_ < movers() && !to_move_.empty()) {
    const auto session = to_move_.front().lock();
    to_move_.pop_front();
    if (!session || !session->open) continue;
    session->is_reconnecting = true, session->tried_backends.clear();
    const bool late = too_late(*session, *session->backend);
    if (!is_shutting_down_ && (session->backend->state == EndpointState::draining || late)) {
      const Backend* to = choose(*session);
      if (!to || (late && too_late(*session, *to))) {
        stay.push_back(session);
        continue;
      }
    }
    ++moving_;
    const auto busy = std::make_shared<bool>(true);
    const auto freed = [this, busy] {
      if (!std::exchange(*busy, false)) return;
      --moving_;
      run_movers();
    };
    session->next = [freed](const AttemptOutcome&) { freed(); };
    actions_.call_at(actions_.now() + kMoverTime, freed);
    actions_.migrate_session(*session);
  }
  to_move_.insert(to_move_.end(), stay.begin(), stay.end());
  if (stay.empty() || std::exchange(movers_wait_, true)) return;
  actions_.call_at(actions_.now() + shortest_goal_ / 2, [this] {
    movers_wait_ = false;
    run_movers();
  });
}

}  // namespace cherryrail
