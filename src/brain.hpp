// The interface of the decision module. A front (the bench's adapter, or the relay on sockets) owns a
// Host, makes one Relay on it and calls the Relay as things happen; the Relay acts only through the Host.
// Nothing here knows a wire. Times are whole microseconds on the front's clock.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace cherryrail {

using Micros = std::int64_t;

enum class Effect : std::uint8_t { repeatable, referenced, once_only };
enum class RepeatScope : std::uint8_t {
  all,
  zone,
  cell
};  // which backends drop a repeat of a referenced tunnel
enum class Standing : std::uint8_t { ready, draining, gone };
enum class Result : std::uint8_t {
  opened,
  error,
  rejected,
  timed_out,
  connect_failed,
  reset,
  cancelled,
  moot
};

struct Profile {
  Micros setup_goal = 0;
  Micros client_timeout = 0;
  Micros message_goal = 0;  // on an open tunnel
  double payoff = 1;
  Effect effect = Effect::repeatable;
  RepeatScope scope = RepeatScope::all;
  Micros window = 0;  // how long a repeat of a referenced tunnel is known
  std::size_t index = 0;
};

// What the site grants and demands, handed over once at start; the Relay keeps only figures derived from it.
struct SiteTerms {
  std::vector<Profile> profiles;
  std::vector<double> tenant_shares;  // open tunnels within each tenant's share, all relays together
  unsigned relays = 1, me = 0, zone = 0, max_setups = 1;
  bool list_on_request = false, may_probe = false, may_abandon = false, may_advise = false;
  Micros longest_advice = 0, ask_within = 0, step = 0;
  Micros ask_again = 0;  // after a failure, where the list's service is this relay's own; 0: all share one
  Micros fall_window = 0, warm_up = 0;
  double fall_multiple = 1, cold_from = 1, probe_price = 0, cross_price = 0;
  // Setups beyond each tunnel's first, in any window of this length, 0 where nothing is stated: so many, and
  // this share of the tunnels taken in it.
  Micros budget_window = 0;
  double budget_free = 0, budget_share = 0;
};

// Fixed buckets of time, used again in a ring: what happened over the last `buckets x width`.
template <std::size_t kBuckets>
class TimeRingOf {
 public:
  explicit TimeRingOf(Micros width) : width_(width > 0 ? width : 1) {}
  void add(Micros now, double amount);                            // what is older than the ring is left out
  double sum(Micros now, std::int64_t buckets = kBuckets) const;  // of the last so many, at most all

 private:
  struct Bucket {
    std::int64_t turn = -1;
    double amount = 0;
  };
  Micros width_;
  std::array<Bucket, kBuckets> buckets_{};
};
using TimeRing = TimeRingOf<8>;

struct Tunnel;

// Late by itself, whatever its load is: by how much, until when that is believed, and how long it is each
// time.
struct Lateness {
  Micros by = 0, until = 0, wait = 0;
  Micros at(Micros now) const { return now < until ? by : 0; }
};

struct Backend : std::enable_shared_from_this<Backend> {
  // Said at the door.
  std::uint64_t name = 0;  // the same at every relay; hashed, never ordered by
  unsigned zone = 0, cell = 0;
  Standing standing = Standing::ready;
  bool banned = false;  // by an operator, before it is listed first; from then on through ban()

  // Read for every backend at every choice: kept close together.
  bool aside = false;
  double size = 1;      // to compare with other backends' sizes
  Micros since = 0;     // its latest start; 0 = long ago
  double load = 0;      // what the held tunnels are taken to ask of it
  double room = 1e300;  // the load that this relay may put there, as learned from strain
  double full = 0;      // what it held when strain began
  Micros room_cut_at = 0;
  bool presumed = false;        // room was taken from the others', not learned here
  std::vector<Tunnel*> held;    // tunnels on their way to it or open on it
  std::uint64_t place = 0;      // its name, hashed
  double draw = 0, weight = 1;  // for the tunnel that is landing now

  Standing listed = Standing::ready;  // what the list says; `standing` counts the ban in
  Micros listed_since = 0, banned_at = 0;
  std::map<std::uint64_t, unsigned> groups;  // how many of each hash key are held
  double doubt = 0;                          // the sequential test: log odds that it is ill
  bool silent = false, probe_out = false;
  unsigned wins = 0;        // successes in a row since it was set aside
  unsigned unanswered = 0;  // in a row: no word of any kind came back
  Micros next_trickle = 0, trickle_gap = 0;
  Micros heard_at = 0, probed_at = 0, calm_at = 0;
  TimeRing good{1'000'000}, bad{1'000'000};
  Micros late_by = 0, late_at = 0;  // the message time told last, and when
  Lateness late;
  unsigned alike = 0;        // late message times in a row that hardly differ
  double told = 0;           // by its latest report: load asked over what it can do
  TimeRing landed{125'000};  // load that a report read now may not know of yet
  std::int64_t cold_turn = -1;
  unsigned cold_sent = 0;
};

struct Ending {
  Result result = Result::opened;
  Micros took = 0;
};

// What a relay has learned, for the process that stands in for it from now on.
struct Memory {
  struct Of {
    std::uint64_t name = 0;
    Micros since = 0, listed_since = 0, room_cut_at = 0;
    double doubt = 0, room = 0, full = 0;
    bool aside = false, silent = false, presumed = false;
    std::int64_t cold_turn = -1;
    unsigned cold_sent = 0;
  };
  Micros born = 0, turns_from = 0, strained_until = 0;
  std::size_t new_clients = 0;
  double purse = 0, further = 0;  // setups beyond a first, in the budget's last window
  std::vector<Of> backends;
};

struct LoadReport {
  std::optional<double> utilisation;  // load asked over what it can do
};

struct Tunnel : std::enable_shared_from_this<Tunnel> {
  // Said at the door.
  const Profile* profile = nullptr;
  std::uint64_t client_key = 0, group_key = 0;
  std::size_t tenant = 0;
  Micros expires_at = 0;
  std::optional<double> hinted_load;  // work a second
  bool mid_flow = false;              // its packets flowed elsewhere until now
  bool returning = false;             // after a break, a move or a try before

  // Kept by the Relay.
  std::shared_ptr<Backend> ep;              // holds the setup that is out, or the open tunnel
  std::function<void(const Ending&)> next;  // what the result of the step under way leads to
  std::vector<const Backend*> tried;
  const Backend* first = nullptr;  // its first-ranked backend when last ranked
  std::uint64_t hash_key = 0;
  unsigned setups = 0;
  unsigned cold = 0,
           full = 0;  // backends that its last choice passed over: for a cold one's sake, for want of room
  double load = 0;
  std::size_t place = 0;  // index in ep->held
  bool answered = false, open = false, queued = false;
  const Backend* may_have_run_at = nullptr;
  Micros may_have_run_since = 0, sent_at = 0;
};

// The door through which the Relay acts. Timers cannot be taken back; the closures see to that themselves.
class Host {
 public:
  virtual ~Host() = default;
  virtual Micros now() const = 0;
  virtual void send_setup(Tunnel&, Backend&, Micros time_limit) = 0;
  virtual void abandon_setup(Tunnel&) = 0;
  virtual void decline(Tunnel&, Micros hold_off) = 0;
  virtual void close_with_error(Tunnel&) = 0;
  virtual void move(Tunnel&) = 0;
  virtual void probe(Backend&) = 0;
  virtual void follow_list() = 0;
  virtual void wake_at(Micros when, std::function<void()> then) = 0;
  virtual void log(const std::string& line) = 0;
};

class Relay {
 public:
  Relay(Host& host, const SiteTerms& terms, std::uint64_t seed);
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  const std::vector<Profile>& profiles() const { return profiles_; }
  // The list. The front makes a Backend once for each name and changes it only through list_entry.
  void list_entry(const std::shared_ptr<Backend>& ep, Standing standing, double size, Micros since);
  void ban(Backend& ep, bool banned);
  void list_read();
  void list_failed(Micros most = std::numeric_limits<Micros>::max());  // ask again so soon at the latest
  // A tunnel's life.
  void take(const std::shared_ptr<Tunnel>& tun);
  void adopt(const std::shared_ptr<Tunnel>& tun, const std::shared_ptr<Backend>& ep);
  void established(Tunnel& tun, Micros took);
  void setup_ended(Tunnel& tun, const Ending& ending, bool finished, const LoadReport& report);
  void client_gone(Tunnel& tun);
  void give_up(Tunnel& tun);  // the final answer to what has none yet, and the end of its setup
  bool may_go(const Tunnel& tun, const Backend& ep) const;  // asked again before a setup's first byte leaves
  bool may_abandon() const { return may_abandon_; }
  bool retiring() const { return retiring_; }
  // What is heard on the side.
  void probe_ended(Backend& ep, const Ending& ending, const LoadReport& report);
  void load_told(Tunnel& tun, double load);
  void delay_told(Tunnel& tun, Micros message_time);
  void left_unanswered(Tunnel& tun);  // lines on it have brought nothing back for seconds
  // Before the end: moves every client, within the usual time or less, and declines those that still come.
  void retire() { retire(end_over_); }
  void retire(Micros within);
  // Another process stands in for this relay from now on: turns at cold backends and the purse are its own.
  // What was learned is for that process to remember.
  Memory succeeded();
  void remember(const Memory& memory);

 private:
  enum class Answer : std::uint8_t { opened, declined, closed_with_error };
  // What the cap is measured against, over the backends that may be landed on.
  struct Caps {
    double calm = 0;  // of new clients, in the long run
    double ready = 0, size = 0, mean_size = 0, tunnels_each = 0, load_by_size = 0, home = 1;
    double listed = 0, told = 1;  // the size of all that is not gone; how busy it is by its reports
    double room_left = 1;         // of the room of the backends strained lately
    bool strained = false, most_strained = false;
  };

  Micros jittered(Micros most);  // half of it to all of it
  Micros spread(Micros most);    // none of it to all of it
  void stands(Backend& ep);
  void restarted(Backend& ep);
  void place(Tunnel& tun);
  Backend* choose(Tunnel& tun);
  void rank(Tunnel& tun);
  void deal_out(Tunnel& tun);
  double bears_cold() const;
  double warm_share(const Backend& ep) const;
  Caps caps_now() const;
  bool over_cap(const Backend& ep, double factor) const;
  bool cold_budget_allows(const Tunnel& tun, const Backend& ep) const;
  std::int64_t cold_turn(const Backend& ep) const;
  bool effect_allows(const Tunnel& tun, const Backend& ep) const;
  bool budget_allows(const Tunnel& tun) const;
  bool launch(Tunnel& tun, Backend& ep);
  Micros setup_limit(const Tunnel& tun) const;
  void measured(Micros took);
  void after_setup(Tunnel& tun, Backend& ep, const Ending& ending);
  void answer(Tunnel& tun, Answer how);
  void opened(Tunnel& tun);
  bool over_share(const Tunnel& tun) const;
  double expected_load(const Tunnel& tun) const;
  void hold(Tunnel& tun, Backend& ep);
  void let_go(Tunnel& tun);
  void heard_from(Backend& ep);
  void unheard(Backend& ep);
  void judge(Backend& ep, bool good);
  void set_aside(Backend& ep);
  void take_report(Backend& ep, const LoadReport& report);
  bool cut_within(const Backend& ep, Micros time) const;
  double room_now(const Backend& ep) const;
  void cut_room(Backend& ep, double kept);
  void dropped(Backend& ep);
  bool fits(double held, double load, const Tunnel& tun, const Backend& ep) const;
  double tunnel_load() const;
  bool too_late(const Tunnel& tun, const Backend& ep) const;
  void late_by_itself(Backend& ep);
  void leave_late(Backend& ep);
  bool told_late(const Backend& ep) const;
  void weigh_way(unsigned zone);
  Micros way_time(const Backend& ep) const;
  Micros lateness(const Backend& ep) const;  // its own or its way's, 0 where it is in time
  void strained(Backend& ep, double kept);
  void hold_others();
  void relieve(Backend& ep);
  void look_around();
  std::size_t movers() const;
  std::size_t queue_limit() const;
  void queue_moves(Backend& ep, const char* why);
  void queue_move(Tunnel& tun);
  void run_movers();

  Host& host_;
  std::mt19937 chance_;
  std::vector<Profile> profiles_;
  std::vector<double> profile_load_;  // mean load told for each profile; its share of payoff until told
  std::vector<unsigned> profile_told_;
  std::vector<double> tenant_part_;  // of each tenant's share, what this relay may hold open
  std::vector<double> tenant_held_;
  double load_unit_ = 1;
  std::vector<std::shared_ptr<Backend>> fleet_;  // in the order in which the list named them
  std::size_t held_ = 0, open_ = 0, queued_ = 0, moving_ = 0, look_from_ = 0;
  double held_load_ = 0, purse_ = 4;
  bool movers_wait_ = false, retiring_ = false;
  std::deque<std::weak_ptr<Tunnel>> to_move_;
  unsigned relays_, me_, zone_, max_setups_, list_failures_ = 0;
  bool list_on_request_, may_probe_, may_abandon_, may_advise_;
  Micros end_over_ = 0, longest_advice_, ask_within_, ask_again_, fall_window_, warm_up_, regrowth_,
         answer_margin_, shortest_goal_, shortest_message_ = 10'000'000, longest_message_ = 0, born_,
         turns_from_;
  double cold_multiple_, cold_from_, probe_price_, cross_price_;
  std::map<unsigned, Lateness> ways_;  // to other zones
  Caps caps_;
  Micros strained_until_ = 0;  // most were: the verdict stands for a while
  std::size_t new_clients_ = 0;
  TimeRing returned_, good_, bad_, setups_made_, setup_time_;
  Micros budget_window_;
  double budget_free_, budget_share_, usual_payoff_ = 0;
  TimeRingOf<64> taken_, further_;  // tunnels, and setups beyond a first
};

}  // namespace cherryrail
