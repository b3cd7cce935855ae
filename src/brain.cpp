// Every decision of cherryrail: a front reports what happens, and the Relay answers through its Host alone.
// The interface is src/brain.hpp; why it is so is in docs/design.md.
// The ordinary path: landing by load-capped rendezvous hashing with warm-up, the next-ranked backend after a
// failed setup, and a bounded pool of movers for what sits on a draining backend. Beside it stand:
//   1. the sequential test that sets an ill backend aside, against its peers, and the doubling trickle back;
//   2. silence and lateness: what answers nothing, or is late by itself or its way, is emptied as on a drain;
//   3. probes, paid from a purse that new clients fill;
//   4. room: strain teaches what a backend can carry; what is over moves, what fits nowhere is declined;
//   5. cold backends: what ranks them first by their warm share, and for all else turns by their start time;
//   6. home: backends in the relay's own zone weigh more, as far as the zone's size bears.
#include "brain.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>
#include <utility>

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
constexpr double kProbeBudget = 0.002, kPurse = 20;  // of the result, spent on probes; probes saved up

std::uint64_t mix(std::uint64_t x) {
  x ^= x >> 30;
  x *= 0xbf58476d1ce4e5b9ULL;
  x ^= x >> 27;
  x *= 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

double draw_of(std::uint64_t key, std::uint64_t place) {
  return (static_cast<double>(mix(key ^ place) >> 11) + 0.5) * 0x1p-53;
}

// The lower the better; weights shift shares as the logarithm method of weighted rendezvous hashing does. The
// logarithm is taken only where this bound from below does not settle it: a fleet is ranked for every setup.
double exact_rank(const Backend& ep) { return -std::log(ep.draw) / ep.weight; }
double least_rank(const Backend& ep) { return (1 - ep.draw) / ep.weight; }

// The group's place in the order in which this backend's room is given out, 0 first; the same at every relay.
double standing_of(const Tunnel& tun, const Backend& ep) { return draw_of(mix(tun.hash_key), ep.place); }

std::uint64_t key_of(const Tunnel& tun) { return tun.group_key ? tun.group_key : tun.client_key; }

bool may_have_run(Result result) {
  return result != Result::rejected && result != Result::connect_failed && result != Result::moot;
}

// Believed longer each time that it comes again soon, forgotten with time.
void believe(Lateness& late, Micros by, Micros now) {
  if (now >= late.until)
    late.wait = now - late.until < 4 * late.wait ? std::min(2 * late.wait, kLateLongest) : kLateShortest;
  late.by = by, late.until = now + late.wait;
}

}  // namespace

template <std::size_t kBuckets>
void TimeRingOf<kBuckets>::add(Micros now, double amount) {
  const std::int64_t turn = now / width_;
  Bucket& bucket = buckets_[static_cast<std::size_t>(turn) % kBuckets];
  if (bucket.turn > turn) return;
  if (bucket.turn != turn) bucket = {turn, 0};
  bucket.amount += amount;
}

template <std::size_t kBuckets>
double TimeRingOf<kBuckets>::sum(Micros now, std::int64_t buckets) const {
  const std::int64_t oldest = now / width_ - std::min(buckets, std::ssize(buckets_));
  double total = 0;
  for (const Bucket& bucket : buckets_) total += bucket.turn > oldest ? bucket.amount : 0;
  return total;
}
template class TimeRingOf<8>;
template class TimeRingOf<64>;

Relay::Relay(Host& host, const SiteTerms& terms, std::uint64_t seed)
    : host_(host), chance_(static_cast<std::uint32_t>(seed ^ (seed >> 32))), profiles_(terms.profiles),
      relays_(std::max(1u, terms.relays)), me_(terms.me), zone_(terms.zone), max_setups_(terms.max_setups),
      list_on_request_(terms.list_on_request), may_probe_(terms.may_probe), may_abandon_(terms.may_abandon),
      may_advise_(terms.may_advise), longest_advice_(terms.longest_advice), ask_within_(terms.ask_within),
      ask_again_(terms.ask_again), fall_window_(std::max<Micros>(1, terms.fall_window)),
      warm_up_(std::max<Micros>(1, terms.warm_up)), regrowth_(std::max(warm_up_, 3 * fall_window_) / 2),
      answer_margin_(2 * std::max<Micros>(terms.step, 1000)), shortest_goal_(10 * kSecond), born_(host.now()),
      turns_from_(born_), cold_multiple_(terms.fall_multiple),
      cold_from_(std::clamp(terms.cold_from, 0.01, 1.0)),
      probe_price_(std::max(terms.probe_price, kProbeBudget / kPurse)), cross_price_(terms.cross_price),
      returned_(kSecond), good_(kSecond), bad_(kSecond), setups_made_(kSecond), setup_time_(kSecond),
      budget_window_(terms.budget_window), budget_free_(terms.budget_free), budget_share_(terms.budget_share),
      taken_(budget_window_ / 63), further_(budget_window_ / 62) {
  double least = 1e300;
  for (const Profile& profile : profiles_) {
    shortest_goal_ = std::min(shortest_goal_, std::max<Micros>(profile.setup_goal, 1000));
    shortest_message_ = std::min(shortest_message_, profile.message_goal);
    longest_message_ = std::max(longest_message_, profile.message_goal);
    end_over_ = std::min(kEndMost, std::max(end_over_, 3 * profile.client_timeout / 4));
    if (profile.payoff > 0) least = std::min(least, profile.payoff);
    usual_payoff_ += profile.payoff / static_cast<double>(profiles_.size());
  }
  // Until loads are told, a profile is taken to load a backend as it pays: the dearest are seldom light.
  for (const Profile& profile : profiles_) profile_load_.push_back(std::max(1.0, profile.payoff / least));
  profile_told_.assign(profiles_.size(), 0);
  for (const double share : terms.tenant_shares) tenant_part_.push_back(share / relays_);
  tenant_held_.assign(tenant_part_.size(), 0);
  if (list_on_request_) host_.follow_list();
  look_from_ = chance_() % 1024;
  look_around();
}

// ---- The list -------------------------------------------------------------------------------------------

void Relay::list_entry(const std::shared_ptr<Backend>& ep, Standing standing, double size, Micros since) {
  const bool known = std::find(fleet_.begin(), fleet_.end(), ep) != fleet_.end();
  if (!known && standing != Standing::gone) fleet_.push_back(ep);
  ep->place = mix(ep->name + 0x9e3779b97f4a7c15ULL);
  if (known && since > ep->listed_since) restarted(*ep);
  ep->size = size > 0 ? size : 0;
  if (!known || since != ep->listed_since) ep->since = ep->listed_since = since;
  if (!known && ep->banned) ep->banned_at = host_.now();
  ep->listed = standing;
  stands(*ep);
  if (standing == Standing::gone && ep->held.empty()) std::erase(fleet_, ep);
}

void Relay::stands(Backend& ep) {
  const bool out = ep.banned && ep.listed == Standing::ready;
  ep.standing = out ? Standing::draining : ep.listed;
  if (ep.standing == Standing::ready) return;
  queue_moves(ep, out ? "is banned" : ep.standing == Standing::draining ? "drains" : "is gone");
}

void Relay::restarted(Backend& ep) {
  ep.doubt = 0, ep.aside = false, ep.room = kNoLimit;
  ep.late.until = std::min(ep.late.until, host_.now());
}

// Danger: what an operator calls back was most likely restarted: cold, unless the list told a start since.
void Relay::ban(Backend& ep, bool banned) {
  if (std::exchange(ep.banned, banned) == banned) return;
  host_.log("backend " + std::to_string(ep.name) + (banned ? " banned" : " called back"));
  if (banned) {
    ep.banned_at = host_.now();
  } else {
    if (ep.listed_since < ep.banned_at) ep.since = host_.now();
    restarted(ep);
  }
  stands(ep);
}

void Relay::list_read() { list_failures_ = 0; }

// Danger: the list is one service: asked by many as soon as by a few, it serves no call before that has
// waited in vain. Where it is this relay's own, it asks at once: what that has to tell counts as told.
void Relay::list_failed(Micros most) {
  if (!list_on_request_) return;
  const Micros within = ask_within_ > 0 ? std::min(ask_within_, kAskMost) : kAskMost;
  const Micros few = std::min(within / 4, kAskAgain) << std::min(list_failures_++, 6u);
  const Micros own = ask_again_ > 0 ? ask_again_ : std::min(within / 4, few);
  const Micros wait = ask_again_ > 0 || relays_ <= kFewAsk
                          ? jittered(std::min(most, own))
                          : spread(std::min({most, within, few / kFewAsk * relays_}));
  host_.wake_at(host_.now() + wait, [this] { host_.follow_list(); });
}

Micros Relay::spread(Micros most) { return std::uniform_int_distribution<Micros>(0, most)(chance_); }

Micros Relay::jittered(Micros most) {
  return static_cast<Micros>(std::uniform_real_distribution(0.5, 1.0)(chance_) * static_cast<double>(most));
}

// ---- Landing --------------------------------------------------------------------------------------------

void Relay::take(const std::shared_ptr<Tunnel>& tun) {
  taken_.add(host_.now(), 1);
  if (tun->returning)
    returned_.add(host_.now(), 1);
  else
    ++new_clients_, purse_ = std::min(kPurse, purse_ + kProbeBudget / probe_price_);
  if (!tun->client_key) tun->client_key = (std::uint64_t{chance_()} << 32) | chance_();
  tun->hash_key = key_of(*tun);
  // Rule 1: whatever else goes wrong, the client hears from us before it stops waiting.
  host_.wake_at(tun->expires_at - answer_margin_, [this, weak = tun->weak_from_this()] {
    if (const auto late = weak.lock()) give_up(*late);
  });
  place(*tun);
}

void Relay::place(Tunnel& tun) {
  while (tun.setups < max_setups_ && tun.expires_at - host_.now() > 3 * answer_margin_ &&
         budget_allows(tun)) {
    Backend* ep = choose(tun);
    if (!ep) break;
    tun.tried.push_back(ep);
    if (launch(tun, *ep)) return;
  }
  give_up(tun);
}

// Rendezvous order over the ready backends; each looser than the last: under the cap, over it, set aside.
Backend* Relay::choose(Tunnel& tun) {
  const Micros now = host_.now();
  Backend* best[3] = {};
  double best_rank[3] = {};
  caps_ = caps_now(), tun.cold = tun.full = 0;
  const double load = expected_load(tun);
  if (retiring_ || (caps_.strained && over_share(tun))) return nullptr;
  const bool strict = caps_.most_strained || caps_.tunnels_each < kCapFloor || caps_.ready < kFewKnown;
  rank(tun);
  for (const auto& ep : fleet_) {
    if (ep->standing != Standing::ready || (best[0] && least_rank(*ep) >= best_rank[0])) continue;
    if (!effect_allows(tun, *ep) || (!cold_budget_allows(tun, *ep) && ++tun.cold)) continue;
    if (std::find(tun.tried.begin(), tun.tried.end(), ep.get()) != tun.tried.end()) continue;
    // A group costs a backend more than its members do: where room is short, it takes in no new one lightly.
    const double extra = ep->groups.contains(tun.hash_key) ? 0
                         : ep.get() == tun.first           ? std::min(kStranger, caps_.tunnels_each)
                                                           : kStranger;
    const bool fit = tun.mid_flow || fits(ep->load + load * extra, load, tun, *ep);
    const bool wide = ep->zone == zone_ && caps_.home > 1 && ep->told < kCalmLoad;
    const bool over = !tun.mid_flow && over_cap(*ep, wide ? kWideCapFactor : kCapFactor);
    // Danger: what strained backends shed would all go to the one not yet strained, and down it in its turn.
    // So it takes twice the mean at most, and one that was strained but is under the cap takes its part.
    if (over && caps_.strained && over_cap(*ep, kWideCapFactor)) continue;
    if (!fit && (strict || over || cut_within(*ep, 2 * kCutEvery)) && ++tun.full) continue;
    const int tier = ep->aside && now < ep->next_trickle ? 2 : over || !fit ? 1 : 0;
    if (too_late(tun, *ep)) continue;
    const double rank = exact_rank(*ep);
    if (!best[tier] || rank < best_rank[tier]) best[tier] = ep.get(), best_rank[tier] = rank;
  }
  return best[0] ? best[0] : best[1] ? best[1] : best[2];
}

void Relay::rank(Tunnel& tun) {
  tun.first = nullptr;
  double least = 0;
  for (const auto& ep : fleet_) {
    if (ep->standing != Standing::ready) continue;
    ep->draw = draw_of(tun.hash_key, ep->place);
    ep->weight = (ep->size > 0 ? ep->size : caps_.mean_size * 0.01) * warm_share(*ep) *
                 (ep->zone == zone_ ? caps_.home : 1);
    if (tun.first && least_rank(*ep) >= least) continue;
    const double rank = exact_rank(*ep);
    if (!tun.first || rank < least) tun.first = ep.get(), least = rank;
  }
  if (tun.first && tun.returning && tun.group_key && warm_share(*tun.first) < 1) deal_out(tun);
}

// Danger: a large group comes again at once, at many relays that each know one of it, and the cold backend
// that ranks first gets it all. So it is dealt out over the cold ones in its order, in parts that one bears
// of a group as large as a warm backend's whole load; the rest goes to the warm.
void Relay::deal_out(Tunnel& tun) {
  const double part = std::min(1.0, bears_cold() * warm_share(*tun.first));
  const auto place = static_cast<std::size_t>(draw_of(mix(tun.client_key), ~tun.hash_key) / part);
  if (place == 0) return;
  std::vector<std::pair<double, Backend*>> cold;
  for (const auto& ep : fleet_)
    if (ep->standing == Standing::ready && warm_share(*ep) < 1) cold.emplace_back(exact_rank(*ep), ep.get());
  tun.first = nullptr;
  if (place >= cold.size()) return;
  std::sort(cold.begin(), cold.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
  Backend &before = *cold[0].second, &first = *cold[place].second;  // they change places in its order
  std::swap(before.draw, first.draw), std::swap(before.weight, first.weight);
  tun.first = &first;
}

// Of its present capacity, what a cold backend is sent on purpose within a fall window.
double Relay::bears_cold() const {
  const double window = static_cast<double>(fall_window_), warming = static_cast<double>(warm_up_);
  return kColdPart * cold_multiple_ * std::min(1.0, window / warming);
}

// How much of its full capacity a backend surely has: from the cold share up, evenly over the warm-up.
double Relay::warm_share(const Backend& ep) const {
  if (ep.since <= 0) return 1;
  const double age = static_cast<double>(host_.now() - ep.since) / static_cast<double>(warm_up_);
  return std::clamp(cold_from_ + (1 - cold_from_) * age, cold_from_, 1.0);
}

Relay::Caps Relay::caps_now() const {
  Caps caps;
  const Micros now = host_.now();
  caps.calm = static_cast<double>(new_clients_) / static_cast<double>(now - born_ + fall_window_);
  double load = 0, home = 0, whole = 0, warm = 0, told = 0, busy = 0, known = 0, cut = 0, room = 0, full = 0,
         zones = 0;
  std::vector<bool> seen;
  for (const auto& ep : fleet_) {
    if (ep->standing != Standing::gone) caps.listed += ep->size;
    if (ep->standing != Standing::ready || ep->aside) continue;
    if (seen.size() <= ep->zone) seen.resize(ep->zone + 1);
    zones += !seen[ep->zone], seen[ep->zone] = true;
    told += ep->told > 0, busy += ep->told;
    const double size = ep->size * warm_share(*ep);
    home += ep->zone == zone_ ? size : 0;
    warm += size, whole += ep->size;
    // Danger: measured with those late by themselves, the few in time seem full, and nothing moves there.
    if (lateness(*ep) > 0) continue;
    ++caps.ready;
    caps.size += size;
    load += ep->load;
    caps.tunnels_each += static_cast<double>(ep->held.size());
    caps.strained |= cut_within(*ep, regrowth_);
    const bool lately = !ep->presumed && cut_within(*ep, ep->held.empty() ? regrowth_ : 2 * kCutEvery);
    known += lately || !ep->held.empty() || (ep->calm_at > 0 && now - ep->calm_at < regrowth_);
    if (lately) ++cut, room += std::min(room_now(*ep), ep->full), full += ep->full;
  }
  // Danger: a relay that has just started holds nothing, and one report of strain would close it for all.
  caps.most_strained = (known >= kFewKnown && 3 * cut >= 2 * known) || now < strained_until_;
  caps.room_left = full > 0 ? room / full : 1;
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

bool Relay::over_cap(const Backend& ep, double factor) const {
  const double cap = factor * caps_.load_by_size * ep.size * warm_share(ep);
  return ep.load >= std::max(cap, kCapFloor * tunnel_load());
}

// Danger: each relay sends a fresh backend a little, and together they push it over. What ranks it first is
// its part by its warm share: over all relays the sum is right without talk, thinned by an agreed draw where
// all that is listed would come to more. For all else windows since its start are dealt out: in each, so many
// relays have a turn as it bears tunnels more. One that has just started sits out a turn that began before.
bool Relay::cold_budget_allows(const Tunnel& tun, const Backend& ep) const {
  const double warm = warm_share(ep), relays = relays_;
  if (warm >= 1) return true;
  const double whole = std::max(caps_.listed * caps_.told, 1e-9), bears = bears_cold();
  const double held = bears * static_cast<double>(held_ + 1), fresh = kColdPart * cold_multiple_ * caps_.calm;
  // Of what comes again, as much as would be borne were it all that is held; of the rest, all or nothing.
  const double come = returned_.sum(host_.now(), 1 + fall_window_ / kSecond) * whole;
  const bool borne = tun.returning ? draw_of(mix(tun.client_key), ep.place) * come < held * caps_.size
                                   : kColdPart * cold_multiple_ * caps_.size >= whole;
  if (tun.first == &ep && borne && host_.now() >= turns_from_) return true;
  const std::int64_t turn = cold_turn(ep);
  if (ep.since + turn * fall_window_ < turns_from_) return false;
  const double part = warm * ep.size / whole;
  const double budget = part * relays * std::max(held, fresh * static_cast<double>(fall_window_));
  const auto turns = static_cast<std::int64_t>(std::clamp(budget, 1.0, relays));
  if ((me_ + turn * turns) % relays_ >= turns) return false;
  return (ep.cold_turn == turn ? ep.cold_sent + 1.0 : 1.0) <=
         std::max(1.0, budget / static_cast<double>(turns));
}

std::int64_t Relay::cold_turn(const Backend& ep) const {
  return std::max<Micros>(0, host_.now() - ep.since) / fall_window_;
}

// Rule 2: an effect that may have happened is repeated only where the repeat is known, while it is known.
bool Relay::effect_allows(const Tunnel& tun, const Backend& ep) const {
  if (!tun.may_have_run_at || tun.profile->effect == Effect::repeatable) return true;
  if (tun.profile->effect == Effect::once_only) return false;
  if (host_.now() + answer_margin_ >= tun.may_have_run_since + tun.profile->window) return false;
  const RepeatScope scope = tun.profile->scope;
  if (scope == RepeatScope::all) return true;
  return scope == RepeatScope::zone ? ep.zone == tun.may_have_run_at->zone
                                    : ep.cell == tun.may_have_run_at->cell;
}

// Rule 5: in any window, setups beyond a tunnel's first are so many and a share of the tunnels taken in it.
// Half is for whoever needs it, the rest for what pays no less than most. The rings err on the safe side.
bool Relay::budget_allows(const Tunnel& tun) const {
  if (budget_window_ <= 0 || tun.setups == 0) return true;
  const double allowed = budget_free_ + budget_share_ * taken_.sum(host_.now(), 62);
  const double spent = further_.sum(host_.now());
  return spent + 1 <= allowed && (2 * spent < allowed || tun.profile->payoff >= usual_payoff_);
}

// Danger: a connection may be long in coming up, and what allowed its setup has ended meanwhile.
bool Relay::may_go(const Tunnel& tun, const Backend& ep) const {
  return !tun.answered && ep.standing == Standing::ready && effect_allows(tun, ep);
}

// The one place where a setup leaves.
bool Relay::launch(Tunnel& tun, Backend& ep) {
  if (tun.ep || tun.setups >= max_setups_ || !may_go(tun, ep)) return false;  // rules 1 to 3, never two
  if (!cold_budget_allows(tun, ep) || !budget_allows(tun)) return false;      // rules 4 and 5
  if (ep.since > 0) {
    const std::int64_t turn = cold_turn(ep);
    ep.cold_sent = ep.cold_turn == turn ? ep.cold_sent + 1 : 1;
    ep.cold_turn = turn;
  }
  tun.sent_at = host_.now();
  if (ep.aside) ep.next_trickle = tun.sent_at + ep.trickle_gap;
  if (tun.setups++ > 0) further_.add(tun.sent_at, 1);
  hold(tun, ep);
  tun.next = [this, &tun, &ep](const Ending& ending) { after_setup(tun, ep, ending); };
  host_.send_setup(tun, ep, setup_limit(tun));
  return true;
}

// The setup goal; longer while setups everywhere take longer, for a time-out that strikes healthy backends
// turns a slow spell into a storm (the source's relaxed time-outs).
Micros Relay::setup_limit(const Tunnel& tun) const {
  const double made = setups_made_.sum(host_.now());
  const Micros usual = made > 0 ? static_cast<Micros>(4 * setup_time_.sum(host_.now()) / made) : 0;
  return std::min(std::max(tun.profile->setup_goal, usual),
                  tun.expires_at - host_.now() - 2 * answer_margin_);
}

void Relay::measured(Micros took) {
  setups_made_.add(host_.now(), 1);
  setup_time_.add(host_.now(), static_cast<double>(took));
}

void Relay::after_setup(Tunnel& tun, Backend& ep, const Ending& ending) {
  if (ending.result == Result::moot && tun.setups > 1) further_.add(tun.sent_at, -1);  // it never left
  if (way_time(ep) == 0) {  // else it is the way's fault
    if (ending.result == Result::connect_failed) unheard(ep);
    // Danger: setups cost work; sent on to a backend that drops or starves them, they keep it down.
    if (ending.result == Result::reset) dropped(ep);
    if (ending.result == Result::timed_out) cut_room(ep, 1), measured(2 * ending.took);  // it takes longer
    if (ending.result != Result::moot && ending.result != Result::cancelled) judge(ep, false);
  }
  if (may_have_run(ending.result) && !tun.may_have_run_at)
    tun.may_have_run_at = &ep, tun.may_have_run_since = tun.sent_at;
  if (!tun.answered) place(tun);
}

// ---- The final answer -----------------------------------------------------------------------------------

// Not opened: declined where that tells the truth (nothing happened, or a repeat does no harm).
void Relay::give_up(Tunnel& tun) {
  if (tun.answered) return;
  if (tun.ep && may_abandon_) host_.abandon_setup(tun);
  const Profile& profile = *tun.profile;
  const bool unsure = tun.may_have_run_at || tun.ep;  // a setup still out may run yet
  const bool harmless = profile.effect == Effect::repeatable || !unsure ||
                        (profile.effect == Effect::referenced && profile.scope == RepeatScope::all);
  answer(tun, harmless ? Answer::declined : Answer::closed_with_error);
}

// The one place where a final answer leaves; it can happen once.
void Relay::answer(Tunnel& tun, Answer how) {
  if (tun.answered) return;
  tun.answered = true;
  if (how == Answer::declined) host_.decline(tun, may_advise_ ? jittered(longest_advice_ / 2) : 0);
  if (how == Answer::closed_with_error) host_.close_with_error(tun);
}

void Relay::established(Tunnel& tun, Micros took) {
  if (tun.answered || !tun.ep) return;
  if (way_time(*tun.ep) == 0) measured(took);
  heard_from(*tun.ep);
  judge(*tun.ep, true);
  opened(tun);
}

void Relay::adopt(const std::shared_ptr<Tunnel>& tun, const std::shared_ptr<Backend>& ep) {
  tun->hash_key = key_of(*tun);
  hold(*tun, *ep);
  opened(*tun);
}

void Relay::opened(Tunnel& tun) {
  answer(tun, Answer::opened);
  tun.open = true;
  ++open_;
  tun.next = [this, ep = tun.ep.get()](const Ending& ending) {
    // A backend that drops open tunnels is overdriven or dying; one told to leave may do as it likes.
    if (ending.result != Result::reset || ep->standing != Standing::ready) return;
    dropped(*ep);
    // All lost in one moment is a broken link or process: that teaches nothing about room.
    if (std::none_of(ep->held.begin(), ep->held.end(), [](const Tunnel* other) { return other->open; }) &&
        cut_within(*ep, shortest_goal_ / 10))
      ep->room = kNoLimit;
    judge(*ep, false);
  };
  if (tun.ep->standing != Standing::ready || retiring_) queue_move(tun), run_movers();
}

void Relay::setup_ended(Tunnel& tun, const Ending& ending, bool finished, const LoadReport& report) {
  if (!tun.ep) return;
  const auto ep = tun.ep;
  take_report(*tun.ep, report);
  let_go(tun);
  const auto next = std::exchange(tun.next, nullptr);
  if (finished && !tun.answered) {
    tun.answered = true;
    if (ending.result == Result::opened) judge(*ep, true);
    return;
  }
  if (next) next(ending);
}

void Relay::client_gone(Tunnel& tun) { tun.answered = true; }

// ---- What a backend holds -------------------------------------------------------------------------------

// Over its share a tenant's tunnels are worth little: where room is short they yield first.
bool Relay::over_share(const Tunnel& tun) const {
  return tun.tenant < tenant_part_.size() && tenant_part_[tun.tenant] > 0 &&
         tenant_held_[tun.tenant] > tenant_part_[tun.tenant];
}

double Relay::expected_load(const Tunnel& tun) const {
  if (tun.hinted_load) return *tun.hinted_load;
  const std::size_t index = tun.profile->index;
  return profile_load_[index] * (profile_told_[index] ? 1 : load_unit_);
}

void Relay::hold(Tunnel& tun, Backend& ep) {
  tun.ep = ep.shared_from_this();
  tun.load = expected_load(tun);
  tun.place = ep.held.size();
  ep.held.push_back(&tun);
  ++ep.groups[tun.hash_key];
  if (tun.tenant < tenant_held_.size()) ++tenant_held_[tun.tenant];
  ep.load += tun.load;
  ep.landed.add(host_.now(), tun.load);
  held_load_ += tun.load, ++held_;
}

void Relay::let_go(Tunnel& tun) {
  Backend& ep = *tun.ep;
  ep.held[tun.place] = ep.held.back();
  ep.held[tun.place]->place = tun.place;
  ep.held.pop_back();
  if (tun.tenant < tenant_held_.size()) --tenant_held_[tun.tenant];
  if (--ep.groups[tun.hash_key] == 0) ep.groups.erase(tun.hash_key);
  ep.load = ep.held.empty() ? 0 : ep.load - tun.load;
  held_load_ = --held_ > 0 ? held_load_ - tun.load : 0;
  if (tun.open) --open_;
  if (tun.queued) --queued_;
  tun.open = tun.queued = false;
  const auto keep = std::move(tun.ep);
  if (keep->standing == Standing::gone && keep->held.empty()) std::erase(fleet_, keep);
}

void Relay::load_told(Tunnel& tun, double load) {
  if (!tun.ep || load <= 0) return;
  const std::size_t index = tun.profile->index;
  const bool first =
      std::all_of(profile_told_.begin(), profile_told_.end(), [](unsigned n) { return n == 0; });
  if (!profile_told_[index]) load_unit_ = load / profile_load_[index], profile_load_[index] = load;
  const double part = 1.0 / std::min(64u, ++profile_told_[index]);
  profile_load_[index] += part * (load - profile_load_[index]);
  if (first) {  // what was counted in shares of payoff is counted in work from here on
    held_load_ = 0;
    for (const auto& ep : fleet_) {
      ep->load = 0;
      for (Tunnel* other : ep->held) ep->load += other->load = expected_load(*other);
      held_load_ += ep->load;
    }
  }
  tun.ep->load += load - tun.load;
  held_load_ += load - tun.load;
  tun.load = load;
  heard_from(*tun.ep);
}

// ---- Health ---------------------------------------------------------------------------------------------

// Wald's sequential test of "fails as its peers do" against "is ill". The peers are the measure: when all
// fail together the cause is shared, and setting the unlucky ones aside would drown the rest.
void Relay::judge(Backend& ep, bool good) {
  const Micros now = host_.now();
  const double failed = 0.04 + std::max(0.0, bad_.sum(now) - ep.bad.sum(now));
  const double seen = 2 + failed + std::max(0.0, good_.sum(now) - ep.good.sum(now));
  const double usual = std::clamp(failed / seen, 0.02, 0.95 * kIllShare);
  (good ? ep.good : ep.bad).add(now, 1);
  (good ? good_ : bad_).add(now, 1);
  const double step = good ? std::log((1 - kIllShare) / (1 - usual)) : std::log(kIllShare / usual);
  ep.doubt = std::clamp(ep.doubt + step, 0.0, 2 * kAsideDoubt);
  if (ep.aside) {
    ep.trickle_gap = good ? ep.trickle_gap / 2 : std::min(2 * ep.trickle_gap, kTrickleLongest);
    ep.next_trickle = now + ep.trickle_gap;
    ep.wins = good ? ep.wins + 1 : 0;
    if (ep.wins >= kWinsToReturn) {
      // Danger: what was silent may have restarted, cold, before the list can say so.
      if (ep.silent) ep.since = std::max(ep.since, now);
      ep.aside = false, ep.doubt = 0;
      host_.log("backend " + std::to_string(ep.name) + " back in service");
    }
  } else if (ep.doubt >= kAsideDoubt &&
             !cut_within(ep, 2 * kCutEvery)) {  // strain is the load's fault: room answers that
    const auto aside = [](const auto& peer) { return peer->aside; };  // rather one ill than the rest drowned
    if (2 * std::count_if(fleet_.begin(), fleet_.end(), aside) + 2 <= std::ssize(fleet_)) set_aside(ep);
  }
}

void Relay::heard_from(Backend& ep) { ep.heard_at = host_.now(), ep.unanswered = 0; }

// Danger: a backend that goes silent breaks nothing; what it holds would hang until the list says so.
void Relay::unheard(Backend& ep) {
  if (++ep.unanswered < kSilentAfter) return;
  const auto heard = [](const auto& peer) { return peer->standing == Standing::ready && !peer->unanswered; };
  if (std::none_of(fleet_.begin(), fleet_.end(), heard)) return;
  if (!ep.aside) set_aside(ep);
  ep.silent = true;
  queue_moves(ep, "is silent");
}

// Danger: an open tunnel whose lines bring nothing back looks sound from here, and its client waits for good.
void Relay::left_unanswered(Tunnel& tun) {
  if (!tun.ep || tun.queued) return;
  unheard(*tun.ep);
  queue_move(tun);
  run_movers();
}

void Relay::set_aside(Backend& ep) {
  ep.aside = true, ep.silent = false, ep.wins = 0;
  ep.trickle_gap = kTrickleStart, ep.next_trickle = host_.now() + kTrickleStart;
  host_.log("backend " + std::to_string(ep.name) + " set aside");
}

void Relay::delay_told(Tunnel& tun, Micros message_time) {
  if (!tun.ep) return;
  const auto kept = tun.ep;  // movers may end the tunnel meanwhile
  Backend& ep = *kept;
  const Micros now = host_.now();
  heard_from(ep);
  if (now - ep.late_at > kSecond / 2) {
    const double change = std::abs(static_cast<double>(message_time - ep.late_by));
    const bool same = message_time > shortest_message_ && now - ep.late_at < 2 * kSecond &&
                      change < kAlike * static_cast<double>(message_time);
    ep.alike = same ? ep.alike + 1 : 0;
    ep.late_by = message_time, ep.late_at = now;
    if (ep.alike >= kAlikeRow) late_by_itself(ep);
    if (ep.zone != zone_ && message_time > shortest_message_) weigh_way(ep.zone);
  }
  if (now < ep.late.until) return;
  // Danger: the mean is in time, yet at half of the goal a part comes late, and more with each that lands.
  if (message_time <= shortest_message_)
    return 2 * message_time > shortest_message_ ? cut_room(ep, 1) : void();
  // Danger: measured by the setup goal, a backend passed for sound while no message on it came in time.
  strained(ep, message_time > 2 * longest_message_ ? kDeepCut : kSlightCut);
}

Micros Relay::way_time(const Backend& ep) const {
  const auto way = ways_.find(ep.zone);
  return way != ways_.end() ? way->second.at(host_.now()) : 0;
}

Micros Relay::lateness(const Backend& ep) const { return std::max(ep.late.at(host_.now()), way_time(ep)); }

bool Relay::too_late(const Tunnel& tun, const Backend& ep) const {
  return static_cast<double>(lateness(ep)) > kInTime * static_cast<double>(tun.profile->message_goal);
}

// Danger: behind a slow way, or while its process hangs, a backend looks overdriven, yet shedding a part
// helps nobody, and each that lands is lost. Late by the same time again and again, it is late by itself:
// what cannot be in time is moved as on a drain.
void Relay::late_by_itself(Backend& ep) {
  const auto in_time = [this](const auto& peer) {
    return peer->standing == Standing::ready && !peer->held.empty() && !told_late(*peer);
  };
  if (std::any_of(fleet_.begin(), fleet_.end(), in_time)) leave_late(ep), run_movers();  // else not its own
}

bool Relay::told_late(const Backend& ep) const {
  return ep.late_by > shortest_message_ && host_.now() - ep.late_at < 2 * kSecond;
}

void Relay::leave_late(Backend& ep) {
  const Micros now = host_.now();
  if (now >= ep.late.until) {  // what its first words did to rooms is undone
    host_.log("backend " + std::to_string(ep.name) + " is late by itself");
    strained_until_ = std::min(strained_until_, now);
    for (const auto& peer : fleet_)
      if (peer.get() == &ep ? cut_within(ep, 2 * kCutEvery) : peer->presumed) peer->room = kNoLimit;
  }
  believe(ep.late, ep.late_by, now);
  for (Tunnel* tun : ep.held)
    if (tun->open && too_late(*tun, ep)) queue_move(*tun);
}

// Most that is held in another zone late by the same time, or by itself, and something at home in time: it is
// the way there, for the untried ones too, and they are not to blame for setups that fail on it.
void Relay::weigh_way(unsigned zone) {
  const Micros now = host_.now();
  double known = 0, late = 0;
  Micros least = std::numeric_limits<Micros>::max();
  for (const auto& ep : fleet_)
    if (const bool its = now < ep->late.until; ep->zone == zone && (its || told_late(*ep)))
      least = std::min(least, its ? ep->late.by : ep->late_by);
  const auto alike = [least](const Backend& ep) {
    return static_cast<double>(ep.late_by) < (1 + 2 * kAlike) * static_cast<double>(least);
  };
  bool sound = false;
  for (const auto& ep : fleet_) {
    if (ep->standing != Standing::ready) continue;
    if (ep->zone == zone_) sound |= !ep->held.empty() && !told_late(*ep);
    if (ep->zone != zone) continue;
    known += now < ep->late.until || !ep->held.empty();
    late += now < ep->late.until || (told_late(*ep) && alike(*ep));
  }
  Lateness& way = ways_[zone];
  const bool again = way.wait > 0 && now - way.until < 4 * way.wait;
  if (!sound || late < (again ? 1 : kFewKnown) || late < kMostOf * known) return;
  believe(way, least, now);
  for (const auto& ep : fleet_)
    if (ep->zone == zone && now >= ep->late.until && told_late(*ep) && alike(*ep)) leave_late(*ep);
  run_movers();
}

void Relay::strained(Backend& ep, double kept) {
  cut_room(ep, kept);
  hold_others();
  relieve(ep);
}

// Danger: what an overdriven backend drops lands on its neighbours, until all drop. So strain teaches how
// much this relay may put there, and what fits nowhere is declined.
void Relay::cut_room(Backend& ep, double kept) {
  const Micros now = host_.now();
  if (ep.room_cut_at > 0 && now - ep.room_cut_at < kCutEvery) return;
  // Danger: a relay that holds one tunnel there, or has just lost it, would close the backend for good. Less
  // than one tunnel's room is a chance to land, the same at every relay.
  const double held = std::max(ep.load, tunnel_load());
  ep.full =
      ep.room_cut_at > 0 && now - ep.room_cut_at < regrowth_ ? std::max(kSlightCut * ep.full, held) : held;
  const double least = 1 - kOneLess * tunnel_load() / held;  // many round up what they shed, one cannot
  ep.room = std::min(room_now(ep), held) * least * (ep.load > 0 ? kept : std::min(kept, kDeepCut));
  ep.room_cut_at = now;
  ep.presumed = false;
}

// Danger: connections break singly, everywhere; each taken for strain would soon close the fleet to all.
void Relay::dropped(Backend& ep) {
  if (ep.bad.sum(host_.now(), 2) > 0) cut_room(ep, 1);
}

// What is held and this, less what its standing spares it: where much is held a bound, else an agreed draw.
bool Relay::fits(double held, double load, const Tunnel& tun, const Backend& ep) const {
  const double spared = (1 - standing_of(tun, ep)) * std::min(1.0, load / std::max(ep.full, load));
  return held + load * (1 - spared) <= room_now(ep);
}

double Relay::tunnel_load() const { return held_ > 0 ? held_load_ / static_cast<double>(held_) : 1; }

bool Relay::cut_within(const Backend& ep, Micros time) const {
  return ep.room < kNoLimit && host_.now() - ep.room_cut_at < time;
}

// Back as TCP CUBIC has it: quickly towards what it held when strain began, slowly past that, then out.
double Relay::room_now(const Backend& ep) const {
  if (ep.room >= kNoLimit) return kNoLimit;
  const double calm = static_cast<double>(host_.now() - ep.room_cut_at - 2 * kCutEvery);
  const double bend = 1 - std::max(0.0, calm / static_cast<double>(regrowth_));
  return ep.full - (ep.full - ep.room) * bend * bend * bend + (bend < 0 ? -bend * bend * bend * ep.full : 0);
}

// Danger: when most of what it knows is strained, what is shed would rush to those not yet cut. So they keep
// what they hold, and the unknown are taken to be as short as the known.
void Relay::hold_others() {
  const Caps caps = caps_now();
  if (!caps.most_strained) return;
  const Micros now = host_.now();
  if (now >= strained_until_) {
    strained_until_ = now + regrowth_;
    host_.log("most known backends strained: the others keep what they hold");
  }
  for (const auto& peer : fleet_) {
    // A cold one that holds nothing here is most likely empty: its own budget bounds it.
    if (peer->held.empty() ? warm_share(*peer) < 1 : peer->room < kNoLimit) continue;
    peer->presumed = true;  // no evidence: or the verdict would feed on itself
    peer->full = std::max(peer->load, tunnel_load());
    peer->room = std::min(room_now(*peer), peer->full * (peer->held.empty() ? kUnknown * caps.room_left : 1));
    peer->room_cut_at = now;
  }
}

// Moves what is over the room, in an order all relays agree on: whole groups, first what belongs elsewhere.
void Relay::relieve(Backend& ep) {
  // By: over its share, foreign, standing and the group's size here.
  std::vector<std::pair<std::tuple<bool, bool, double>, Tunnel*>> open;
  double kept = ep.load;
  for (Tunnel* tun : ep.held) {
    if (!tun->open && !tun->queued) continue;
    kept -= tun->load;
    if (tun->queued) continue;
    if (!tun->first || tun->first->standing != Standing::ready) rank(*tun);
    const unsigned together = ep.groups[tun->hash_key];
    const bool foreign = tun->first && tun->first != &ep && together == 1 &&
                         fits(tun->first->load, tun->load, *tun, *tun->first);
    open.push_back({{over_share(*tun), foreign, standing_of(*tun, ep) - together}, tun});
  }
  std::stable_sort(open.begin(), open.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
  for (const auto& [order, tun] : open) {
    const bool foreign = std::get<1>(order);
    if (foreign ? kept + tun->load <= room_now(ep) : fits(kept, tun->load, *tun, ep))
      kept += tun->load;
    else
      queue_move(*tun);
  }
  run_movers();
}

void Relay::take_report(Backend& ep, const LoadReport& report) {
  if (!report.utilisation) return;
  const double told = ep.told = *report.utilisation, kept = std::max(kDeepCut, kFullLoad / told);
  // Danger: one that is only nearly full serves all in time; moved away, its clients overdrive the next.
  if (told > kFullLoad) return told > kOverLoad ? strained(ep, kept) : cut_room(ep, kept);
  ep.calm_at = host_.now();
  // Danger: a rush of setups makes messages late for a moment; rooms cut for it turn clients away for
  // seconds. So a report tells what is borne, by what was held as it was taken.
  const double then = std::max(0.0, ep.load - ep.landed.sum(ep.calm_at)) / std::max(told, kCalmLoad);
  const double bears = std::max(kFullLoad * then, told < kCalmLoad ? ep.full : 0);
  if (room_now(ep) < bears) ep.room = bears, ep.full = std::max(ep.full, bears);
}

// Danger: many relays each looking at every backend cost more than they learn: looks are paid from a purse
// that new clients fill. Doubt and strain come first, half of it is theirs.
void Relay::look_around() {
  if (!may_probe_) return;
  const Micros now = host_.now();
  purse_ = std::min(kPurse, purse_ + static_cast<double>(shortest_goal_ / 2) / kSecond / relays_);
  const std::size_t from = look_from_;
  for (const bool in_doubt : {true, false}) {
    for (std::size_t i = 0; i < fleet_.size(); ++i) {
      Backend& ep = *fleet_[(from + i) % fleet_.size()];
      if (purse_ < (in_doubt ? 1 : kPurse / 2)) break;
      const bool doubted = (ep.doubt > 0 && bad_.sum(now) > 0) || cut_within(ep, 2 * kCutEvery);
      if (ep.standing != Standing::ready || ep.probe_out || in_doubt != doubted) continue;
      const Micros due = in_doubt ? ep.probed_at + (ep.aside ? kSecond : shortest_goal_)
                                  : std::max(ep.probed_at, ep.heard_at) + kSecond / 2;
      if (now < due) continue;
      purse_ -= 1;
      ep.probe_out = true, ep.probed_at = now;
      host_.probe(ep);
      if (!in_doubt) look_from_ = (from + i + 1) % fleet_.size();
    }
  }
  host_.wake_at(now + shortest_goal_ / 2, [this] { look_around(); });
}

void Relay::probe_ended(Backend& ep, const Ending& ending, const LoadReport& report) {
  ep.probe_out = false;
  take_report(ep, report);
  if (ending.result == Result::rejected) return;  // too many probes there: says nothing
  const bool good = ending.result == Result::opened;
  good ? heard_from(ep) : unheard(ep);
  // A good probe shows that the process can be reached, not that it serves: that counts for one set aside as
  // silent; for one set aside as ill it only opens the trickle.
  if (!good || !ep.aside || ep.silent) return judge(ep, good);
  ep.next_trickle = std::min(ep.next_trickle, host_.now());
}

// ---- Movers ---------------------------------------------------------------------------------------------

// The design's sizes, with P the open tunnels that are not themselves waiting to move.
std::size_t Relay::movers() const {
  const std::size_t p = open_ - queued_;
  return std::max<std::size_t>(1, std::min(p / 2, std::max<std::size_t>(10, p / 3)));
}

// This relay is to end. Danger: asked all at once, clients come again at once, and backends drown in setups.
void Relay::retire(Micros within) {
  retiring_ = true;
  for (const auto& ep : fleet_)
    for (Tunnel* held : ep->held)
      host_.wake_at(host_.now() + spread(within), [this, weak = held->weak_from_this()] {
        if (const auto tun = weak.lock(); tun && tun->open) queue_move(*tun), run_movers();
      });
}

// Danger: two processes with one relay's turn would send a cold backend twice what it was dealt.
Memory Relay::succeeded() {
  Memory memory{born_, turns_from_, strained_until_, new_clients_, purse_, further_.sum(host_.now()), {}};
  for (const auto& ep : fleet_)
    memory.backends.push_back({ep->name, ep->since, ep->listed_since, ep->room_cut_at, ep->doubt, ep->room,
                               ep->full, ep->aside, ep->silent, ep->presumed, ep->cold_turn, ep->cold_sent});
  turns_from_ = std::numeric_limits<Micros>::max();
  budget_free_ = budget_share_ = 0, may_probe_ = false;
  return memory;
}

// Danger: a relay that forgets at each replacement is always young, and takes for warm what it knew was cold.
void Relay::remember(const Memory& memory) {
  born_ = std::min(born_, memory.born);
  turns_from_ = std::min(turns_from_, memory.turns_from);
  strained_until_ = std::max(strained_until_, memory.strained_until);
  new_clients_ += memory.new_clients;
  purse_ = std::clamp(memory.purse, 0.0, kPurse);
  further_.add(host_.now(), memory.further);
  for (const Memory::Of& of : memory.backends) {
    const auto known =
        std::find_if(fleet_.begin(), fleet_.end(), [&of](const auto& ep) { return ep->name == of.name; });
    if (known == fleet_.end()) continue;
    Backend& ep = **known;
    ep.cold_turn = of.cold_turn, ep.cold_sent = of.cold_sent;
    if (ep.listed_since != of.listed_since) continue;  // restarted since: nothing of it holds
    ep.since = std::max(ep.since, of.since);
    ep.doubt = of.doubt, ep.room = of.room, ep.full = of.full, ep.room_cut_at = of.room_cut_at;
    ep.presumed = of.presumed;
    if (of.aside && !ep.aside) set_aside(ep), ep.silent = of.silent;
  }
}

std::size_t Relay::queue_limit() const {
  const std::size_t p = std::max<std::size_t>(1, open_ - queued_);
  return std::min(std::max(20 * movers(), p), 5 * p);
}

void Relay::queue_moves(Backend& ep, const char* why) {
  const std::size_t before = queued_;
  for (Tunnel* tun : ep.held)
    if (tun->open) queue_move(*tun);
  if (queued_ > before) host_.log("moving tunnels: backend " + std::to_string(ep.name) + " " + why);
  run_movers();
}

void Relay::queue_move(Tunnel& tun) {
  if (tun.queued) return;
  const auto self = tun.shared_from_this();
  const bool space = queued_ < queue_limit();
  tun.queued = true;
  ++queued_;
  if (space) return to_move_.push_back(self);
  // Queue full: wait a little for space, then end the connection unqueued, as the source does.
  host_.wake_at(host_.now() + kQueueFullWait, [this, weak = std::weak_ptr<Tunnel>(self)] {
    const auto waiting = weak.lock();
    if (!waiting || !waiting->open) return;
    if (to_move_.size() >= queue_limit()) return host_.move(*waiting);
    to_move_.push_back(weak);
    run_movers();
  });
}

// Danger: a client moved while nothing would take it in is declined; on a backend that drains it is served.
void Relay::run_movers() {
  std::vector<std::weak_ptr<Tunnel>> stay;
  while (moving_ < movers() && !to_move_.empty()) {
    const auto tun = to_move_.front().lock();
    to_move_.pop_front();
    if (!tun || !tun->open) continue;
    tun->returning = true, tun->tried.clear();
    const bool late = too_late(*tun, *tun->ep);
    if (!retiring_ && (tun->ep->standing == Standing::draining || late)) {
      const Backend* to = choose(*tun);
      if (!to || (late && too_late(*tun, *to))) {
        stay.push_back(tun);
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
    tun->next = [freed](const Ending&) { freed(); };
    host_.wake_at(host_.now() + kMoverTime, freed);
    host_.move(*tun);
  }
  to_move_.insert(to_move_.end(), stay.begin(), stay.end());
  if (stay.empty() || std::exchange(movers_wait_, true)) return;
  host_.wake_at(host_.now() + shortest_goal_ / 2, [this] {
    movers_wait_ = false;
    run_movers();
  });
}

}  // namespace cherryrail
