#include "net/door.hpp"

#include <algorithm>
#include <set>
#include <utility>

#include "net/head.hpp"

namespace cherryrail::net {
namespace {

// For discovery, probes, operators, setups of clients already heard, and what the loop itself needs.
constexpr std::size_t kSpareSockets = 24;
constexpr Micros kSecond = 1'000'000;
constexpr Micros kFirstList = kSecond;               // so long a relay that knows backends waits for news
constexpr Micros kFirstLine = 7 * kSecond / 2;       // a service that all share works through calls in turn
constexpr Micros kIdKept = 5 * kSecond;              // after its tunnel's end
constexpr Micros kStillComing = 45 * kSecond / 100;  // so long clients come after the relay is told to end
constexpr Micros kAnswerMargin = kSecond / 50;       // before a client stops waiting
constexpr Micros kLongestWait = 3 * kSecond;         // of a client, as far as the platform waits for the end
constexpr Micros kLastCall = kSecond / 2;            // after that wait, what is left hears the end
constexpr Micros kLastWords = kSecond / 10;          // to go out, and a torn line to end
constexpr Micros kEmptyFor = kSecond / 4;            // before the end: what was told last must be read

Exchange& exchange_of(Tunnel& tun) { return static_cast<Exchange&>(tun); }

Micros shortest_goal(const Facts& facts) {
  Micros least = kSecond;
  for (const Profile& profile : facts.terms.profiles) {
    if (profile.setup_goal > 0) least = std::min(least, profile.setup_goal);
  }
  return least;
}

}  // namespace

struct Door::Endpoint final : Backend {
  std::string uid;
  Address address;
};

Door::Door(Loop& loop, const Start& start)
    : loop_(loop), listen_(start.listen), settled_(start.settled), facts_(start.facts),
      sockets_(start.sockets), kept_back_(std::min(kSpareSockets, most_kept_back(start.sockets))),
      zones_(start.facts.zone_names), inherited_(start.clients_fd >= 0),
      discovery_(
          loop, start.discovery, start.known.version, start.pushed ? kSecond : kFirstLine,
          [this](const List& list) {
            list_heard(list);
            if (!backends_.empty()) serve();
          },
          [this](Micros most) { relay_->list_failed(most); }),
      probes_(loop, start.facts.reports_on_probe ? "STATS" : "PING", start.facts.connect_within,
              std::max(start.facts.connect_within, shortest_goal(start.facts) / 2), start.facts.idle_after),
      servers_(
          loop, start.facts.connect_within, [this](std::string_view text) { return read_report(text); },
          [this](Exchange& tun, double figure) { told(tun, figure); }) {
  relay_ = std::make_unique<Relay>(*this, facts_.terms, start.seed);
  list_heard(start.known);
  clients_ = std::make_unique<ClientSide>(
      loop, start.clients_fd >= 0 ? socket_of(start.clients_fd) : listen_at(start.listen_on),
      [this](std::string_view line) { return std::make_shared<Exchange>(loop_, *relay_, line); },
      [this](const std::shared_ptr<Exchange>& tun) { take(tun); }, [this] { return full(); });
  look_for_silence();
  // Danger: with an old list, setups go to backends that have left. But discovery may be down for long, and a
  // relay that never begins serves nobody.
  // Where its agent has the news already, they count as told from the first moment; but clients may come at
  // once, and whoever waits in the backlog gets no more time for it.
  const Micros for_news = inherited_     ? kFirstList
                          : start.pushed ? std::min(facts_.drain_grace, shortest_goal(facts_) / 2)
                                         : 0;
  if (for_news > 0)
    loop_.wake_at(loop_.now() + for_news, [this] { serve(); });
  else
    serve();
  loop_.log().line(Topic::life, "%s is up, %zu backends known", start.name.c_str(), backends_.size());
}

Door::~Door() = default;

void Door::on_ready(std::function<void()> then) {
  on_ready_ = std::move(then);
  if (ready_) loop_.soon(on_ready_);
}

void Door::serve() {
  if (ready_ || leaving_) return;
  ready_ = true;
  clients_->take_in(true);
  if (on_ready_) on_ready_();
}

void Door::leave() {
  if (std::exchange(leaving_, true)) return;
  told_to_end_ = loop_.now();
  loop_.log().line(Topic::life, "told to end: %zu clients to move", clients_->tunnels());
  // Danger: while clients are still sent here, one that is moved at once may come straight back and be
  // declined.
  loop_.wake_at(loop_.now() + kStillComing, [this] {
    relay_->retire();
    end_when_empty();
  });
}

// Danger: what this process takes in now it can serve for a moment only; the next one has it for good.
Memory Door::succeeded() {
  leaving_ = true;
  told_to_end_ = loop_.now();
  loop_.log().line(Topic::life, "told to end: %zu clients to hand over", clients_->tunnels());
  clients_->take_in(false);
  return relay_->succeeded();
}

bool Door::hand_over(const Give& give) {
  clients_->hand_over([&give](Handed handed, const Exchange* tun) {
    if (tun) handed.backend = static_cast<const Endpoint&>(*tun->ep).uid;
    return give(handed);
  });
  return clients_->empty();
}

void Door::move_rest() {
  loop_.log().line(Topic::life, "%zu clients could not be handed over: moving them", clients_->tunnels());
  relay_->retire(0);
  end_when_empty();
}

Micros Door::longest_wait() const {
  Micros longest = 0;
  for (const Profile& profile : relay_->profiles()) longest = std::max(longest, profile.client_timeout);
  return longest;
}

void Door::take_over(const Handed& handed) {
  if (handed.memory) return relay_->remember(*handed.memory);
  SocketPtr client = socket_of(handed.client);
  if (handed.server < 0) return clients_->come(std::move(client), handed.begun, handed.waited);
  SocketPtr server = socket_of(handed.server);
  const auto tun = std::make_shared<Exchange>(loop_, *relay_, handed.head);
  if (const char* fault = tun->head.fault() ? tun->head.fault() : read_tunnel(*tun))
    return loop_.log().line(Topic::fault, "a tunnel handed over is not understood: %s", fault);
  id_known(tun);
  const bool listed = backends_.contains(handed.backend);
  const auto& ep = endpoint(handed.backend);
  if (!listed) relay_->list_entry(ep, Standing::gone, 1, 0);  // it has left: its tunnels are to be moved
  clients_->stands(std::move(client), tun);
  servers_.stands(tun, std::move(server));
  tun->stands_at(ep, handed.waited);
}

// Danger: half a file, or one with a wrong value, must not end the process or be taken in part.
void Door::reload(const std::string& path) {
  try {
    const Start fresh = read_start(path);
    if (fresh.listen != listen_) throw BadSetting("listen: cannot change while the relay runs");
    sockets_ = allow_descriptors(fresh.sockets);
    relay_->list_read();  // what failed at the old place says nothing of the new one
    discovery_.move_to(fresh.discovery);
    loop_.log().line(Topic::life, "the new configuration is taken%s",
                     fresh.settled == settled_ ? "" : "; its settings differ and hold from the next start");
  } catch (const BadSetting& fault) {
    loop_.log().line(Topic::fault, "the new configuration is not taken: %s", fault.what());
  }
}

void Door::look_whether_empty(Micros empty_since) {
  loop_.wake_at(loop_.now() + kEmptyFor / 10, [this, empty_since] {
    // Danger: the platform waits for no client that is slow, for no backend that hangs and for no mover.
    const Micros now = loop_.now(), last = told_to_end_ + std::min(longest_wait(), kLongestWait) + kLastCall;
    const bool busy = clients_->tunnels() > 0 || clients_->awaits_lines();
    if (now < last && busy) return look_whether_empty(now);
    if (now < last && now - empty_since < kEmptyFor) return look_whether_empty(empty_since);
    clients_->last_call(!inherited_);
    loop_.wake_at(now + kLastWords, [this] {
      loop_.log().line(Topic::life, "%s: ending",
                       clients_->tunnels() > 0 ? "time is up" : "every client is gone");
      loop_.quit();
    });
  });
}

// Danger: the clients of a relay that is replaced are served already; the spare descriptors are for new ones.
bool Door::can_take_over() const { return loop_.sockets() + others_hold_ + kept_back_ / 2 <= sockets_; }

void Door::end_when_empty() { look_whether_empty(loop_.now()); }

bool Door::full() const { return loop_.sockets() + others_hold_ + kept_back_ > sockets_; }

void Door::ban(const std::set<std::string>& uids) {
  const auto before = std::exchange(banned_, uids);
  for (const auto& [uid, ep] : backends_) {
    if (before.contains(uid) != uids.contains(uid)) relay_->ban(*ep, uids.contains(uid));
  }
}

// ---- What comes in --------------------------------------------------------------------------------------

void Door::take(const std::shared_ptr<Exchange>& tun) {
  const char* fault = tun->head.fault() ? tun->head.fault() : read_tunnel(*tun);
  if (!fault && id_known(tun)) fault = "its id is another's";
  if (fault) {
    loop_.log().line(Topic::fault, "a first line was not understood: %s", fault);
    return tun->client->finish("ERR", "not_understood");
  }
  // Danger: a tunnel needs a second descriptor; with none left, it would be a setup that cannot be made and
  // a listener that cannot accept. What has not been sent anywhere can be declined.
  clients_->make_room();
  if (full()) return tun->client->finish("BUSY", "no_descriptors");
  // Danger: one that has been told to leave since gets nothing new, what stood there before not excepted.
  const auto stood_at = backends_.find(tun->head.value("at"));
  if (stood_at == backends_.end() || !relay_->may_go(*tun, *stood_at->second)) return relay_->take(tun);
  tun->stood_at = stood_at->second;
  servers_.start(tun, stood_at->second->address, tun->expires_at - loop_.now() - kAnswerMargin);
}

// Danger: the id of another's open tunnel. Every backend refuses it, and each refusal would speak against one
// that is sound. An id is new with every connection, so it is known for a while after its end, too.
bool Door::id_known(const std::shared_ptr<Exchange>& tun) {
  for (const Micros now = loop_.now(); !ids_by_age_.empty() && ids_by_age_.front().first <= now;) {
    const auto oldest = ids_by_age_.front().second;
    ids_by_age_.pop_front();
    if (oldest->second.expired())
      ids_.erase(oldest);
    else
      ids_by_age_.emplace_back(now + kIdKept, oldest);
  }
  const auto [at, fresh] = ids_.try_emplace(std::string(tun->head.id()), tun);
  if (fresh) ids_by_age_.emplace_back(loop_.now() + kIdKept, at);
  return !fresh;
}

const char* Door::read_tunnel(Exchange& tun) {
  const auto named = [](const std::vector<std::string>& names, std::string_view name) {
    return static_cast<std::size_t>(std::find(names.begin(), names.end(), name) - names.begin());
  };
  const std::size_t profile = named(facts_.profile_names, tun.head.value("c"));
  if (profile >= relay_->profiles().size()) return "its class is not known";
  tun.profile = &relay_->profiles()[profile];
  const auto wait = number_of(tun.head.value("d"));
  if (!wait || *wait <= 0 || *wait > 1e9) return "it does not tell how long the client waits";
  tun.expires_at = loop_.now() + micros_of(*wait);
  tun.client_key = tun.head.flow();
  const std::uint64_t key = key_of(tun.head.value("g"));
  if (facts_.grouped)
    tun.group_key = key;
  else if (key)
    tun.client_key = key;
  if (const auto hint = number_of(tun.head.value("h")); hint && *hint > 0 && *hint < 1e12)
    tun.hinted_load = *hint * 1000;
  for (const char* name : {"t", "tenant", "realm"}) {
    if (const std::string_view tenant = tun.head.value(name); !tenant.empty())
      tun.tenant = named(facts_.tenant_names, tenant);
  }
  tun.returning = tun.head.value("r") == "1" || tun.head.value("again") == "1";
  return nullptr;
}

unsigned Door::zone_of(const std::string& name) {
  const auto found = std::find(zones_.begin(), zones_.end(), name);
  const auto zone = static_cast<unsigned>(found - zones_.begin());
  if (found == zones_.end()) zones_.push_back(name);
  return zone;
}

const std::shared_ptr<Door::Endpoint>& Door::endpoint(const std::string& uid) {
  auto& ep = backends_[uid];
  if (ep) return ep;
  ep = std::make_shared<Endpoint>();
  ep->uid = uid;
  ep->name = key_of("uid " + uid);  // hashed as a text: the same at every relay
  ep->banned = banned_.contains(uid);
  return ep;
}

void Door::list_heard(const List& list) {
  if (list.skipped > 0)
    loop_.log().line(Topic::discovery, "%zu entries in no known state passed over", list.skipped);
  std::set<std::string_view> named;
  for (const Listed& entry : list.entries) {
    named.insert(entry.uid);
    const auto& ep = endpoint(entry.uid);
    if (const Address address = parse_address(entry.endpoint)) ep->address = address;
    ep->zone = zone_of(entry.zone);
    ep->cell = entry.cell;
    loop_.log().line(Topic::discovery, "backend %llu is %s: %s", static_cast<unsigned long long>(ep->name),
                     entry.uid.c_str(),
                     entry.standing == Standing::ready      ? "ready"
                     : entry.standing == Standing::draining ? "draining"
                                                            : "gone");
    relay_->list_entry(ep, entry.standing, entry.size, entry.since);
  }
  if (list.whole && list.skipped == 0) {  // what a whole list leaves out has been removed
    for (const auto& [uid, ep] : backends_) {
      if (!named.contains(uid)) relay_->list_entry(ep, Standing::gone, ep->size, ep->listed_since);
    }
  }
  relay_->list_read();
}

LoadReport Door::read_report(std::string_view text) const {
  LoadReport report;
  for (const std::string_view field : {"util", "busy", "x0"}) {
    if (const auto value = report_field(text, field); value && *value >= 0 && *value < 1e6)
      report.utilisation = *value;
  }
  return report;
}

// Danger: where no loads are told, the figure of a LOAD line is the milliseconds that a message takes there;
// taken for a load, it upsets every count of load and hides that the backend is strained.
void Door::told(Exchange& tun, double figure) {
  if (!(figure >= 0 && figure < 1e12)) return;
  if (facts_.tells_load)
    relay_->load_told(tun, figure);
  else if (facts_.tells_delay)
    relay_->delay_told(tun, micros_of(figure));
}

// A backend that goes silent breaks nothing, nor does a tunnel that stops short: its client's lines just
// bring nothing back. Danger: all the while the client is served nothing. A sound connection brings a line
// back at once, however laden the backend is, so two setup goals are long enough to wait.
void Door::look_for_silence() {
  const Micros goal = shortest_goal(facts_);
  servers_.silent_for(2 * goal, [this](Exchange& tun) { relay_->left_unanswered(tun); });
  loop_.wake_at(loop_.now() + goal / 2, [this] { look_for_silence(); });
}

// ---- What goes out --------------------------------------------------------------------------------------

void Door::send_setup(Tunnel& tun, Backend& ep, Micros time_limit) {
  servers_.start(std::static_pointer_cast<Exchange>(tun.shared_from_this()),
                 static_cast<Endpoint&>(ep).address, time_limit);
}

void Door::abandon_setup(Tunnel& tun) { exchange_of(tun).abandon(); }
void Door::decline(Tunnel& tun, Micros hold_off) { exchange_of(tun).decline(hold_off); }
void Door::close_with_error(Tunnel& tun) { exchange_of(tun).close_with_error(); }
void Door::move(Tunnel& tun) { exchange_of(tun).move(); }

void Door::probe(Backend& ep) {
  const auto target = std::static_pointer_cast<Endpoint>(ep.shared_from_this());
  // Danger: where clients hold the rest, probes take the last descriptors, and a look that finds none would
  // speak against its backend. None made is as one turned away.
  if (!can_take_over())
    return loop_.soon([this, target] { relay_->probe_ended(*target, {Result::rejected, 0}, {}); });
  probes_.look(target->uid, target->address, [this, target](const Ending& ending, std::string_view report) {
    relay_->probe_ended(*target, ending, read_report(report));
  });
}

// Asked for soon, not now: the module asks from within its own making.
void Door::follow_list() {
  loop_.soon([this] { discovery_.follow(); });
}

}  // namespace cherryrail::net
