#include "ops/operation.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace cherryrail::ops {
namespace {

using net::Topic;

constexpr Micros kHandAgain = 20'000;
constexpr int kTakenAtOnce = 64;
constexpr Micros kLookAgain = 100'000;  // what the other process is told or holds counts here so late at most

// The name of a file that is this relay's own among those that share the folder.
std::string file_name(const std::string& relay, const char* what) {
  std::string name = relay.empty() ? "relay" : relay.substr(0, 40);
  std::replace_if(
      name.begin(), name.end(), [](char c) { return !g_ascii_isalnum(c) && c != '-'; }, '_');
  return "cherryrail-" + name + "." + what;
}

std::string path_of(const net::Start& start, const char* what) {
  if (start.mgmt.empty() || start.kept_in.empty()) return "";
  return start.kept_in + "/" + file_name(start.name, what);
}

std::optional<std::string> who_of(const std::string& body) {
  const auto json = nlohmann::json::parse(body, nullptr, false);
  if (!json.is_object()) return {};
  const auto who = json.find("who");
  if (who == json.end() || !who->is_string() || who->get_ref<const std::string&>().empty()) return {};
  return who->get<std::string>();
}

}  // namespace

// A connection with the process before this one, or the one after; it ends with that process.
struct Operation::Peer {
  Handle from;
  int process = 0;
  std::unique_ptr<net::Watch> watch;
};

Operation::Operation(net::Loop& loop, net::Door& door, const net::Start& start)
    : loop_(loop), door_(door), bans_(path_of(start, "bans")),
      succession_(start.clients_fd >= 0 ? start.kept_in : "", file_name(start.name, "serves")) {
  if (start.clients_fd >= 0) {
    if (Handle before = succession_.heir()) meet(std::move(before));  // so that each counts the other in
    door_.on_ready([this] {
      if (!succession_.announce())
        return loop_.log().line(Topic::fault, "cannot tell a predecessor that this serves");
      greeter_ =
          std::make_unique<net::Watch>(loop_, succession_.listening(), [this](bool, bool) { greet(); });
      greeter_->want(true, false);
    });
  }
  if (start.mgmt.empty()) return;
  heed_bans();
  look_at_bans();
  door_.keep_back(Calls::kCallers);
  try {
    calls_ = std::make_unique<Calls>(
        loop_, start.mgmt_on,
        std::vector<Row>{
            {"GET", "/ready",
             [this](const std::string&) {
               return door_.ready() ? Reply{200, R"({"ready":true})"} : refusal(503, "not ready to serve");
             }},
            {"POST", "/backends/disable", [this](const std::string& body) { return ban(body, true); }},
            {"POST", "/backends/enable", [this](const std::string& body) { return ban(body, false); }}});
  } catch (const std::runtime_error& failure) {
    throw BadSetting(std::string("mgmt: ") + failure.what());
  }
}

Reply Operation::ban(const std::string& body, bool banned) {
  const auto who = who_of(body);
  if (!who) return refusal(400, "the body is not JSON with a text `who`");
  if (bans_.look()) heed_bans();
  if (!door_.knows(*who)) return refusal(404, "no such backend");
  // Danger: a full disk must not keep an operator from taking a backend out.
  bans_.change(*who, banned);
  heed_bans();
  return {200, nlohmann::json{{"who", *who}, {"banned", banned}}.dump()};
}

void Operation::heed_bans() {
  if (bans_.fault() != std::exchange(last_fault_, bans_.fault()) && !last_fault_.empty())
    loop_.log().line(Topic::fault, "bans are kept by this process alone: %s", bans_.fault().c_str());
  door_.ban(bans_.names());
}

// While a relay is replaced there are two processes, and a call to one must hold for both.
void Operation::look_at_bans() {
  if (bans_.look() || !bans_.fault().empty()) heed_bans();
  loop_.wake_at(loop_.now() + kLookAgain, [this] { look_at_bans(); });
}

Operation::~Operation() = default;

void Operation::leave() {
  if (std::exchange(handing_, true)) return;
  heir_ = succession_.heir();
  if (!heir_) return door_.leave();
  net::Handed learned;
  learned.memory = door_.succeeded();
  give(heir_, learned);
  hand_over(loop_.now() + door_.longest_wait());
}

// Danger: a successor that dies half-way takes with it what it has been given; the rest is moved, as without
// one. What cannot go between two lines within the time that any client waits is moved, too.
void Operation::hand_over(Micros until) {
  bool alive = true;
  const bool all_gone = door_.hand_over([this, &alive](const net::Handed& handed) {
    const Gave gave = give(heir_, handed);
    alive = alive && gave != Gave::never;
    return gave == Gave::yes;
  });
  if (all_gone) return door_.end_when_empty();
  // Two replacements soon after each other: the one that has gone may have a successor of its own.
  if (!alive) heir_ = succession_.heir();
  if (!heir_ || loop_.now() >= until) return door_.move_rest();
  loop_.wake_at(loop_.now() + kHandAgain, [this, until] { hand_over(until); });
}

void Operation::greet() {
  Handle from(accept4(succession_.listening(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  // Danger: whoever can open the folder could hand in connections of his own.
  if (from && peer_of(from)) meet(std::move(from));
}

void Operation::meet(Handle with) {
  const auto one = std::make_shared<Peer>();
  one->from = std::move(with);
  one->process = peer_of(one->from).value_or(0);
  peers_.push_back(one);
  one->watch =
      std::make_unique<net::Watch>(loop_, one->from.get(), [this, weak = std::weak_ptr(one)](bool, bool) {
        if (const auto here = weak.lock()) receive(*here);
      });
  one->watch->want(true, false);
  if (!std::exchange(looking_, true)) look_at_peers();
}

// Danger: a message that is read without descriptors left to hold what it brings loses a tunnel.
void Operation::receive(Peer& from) {
  count_peers();
  for (int i = 0; i < kTakenAtOnce; ++i) {
    if (!door_.can_take_over()) {
      from.watch->want(false, false);
      return loop_.wake_at(loop_.now() + kHandAgain, [this] {
        count_peers();
        for (const auto& one : peers_) one->watch->want(true, false);
      });
    }
    bool over = false;
    const auto handed = taken(from.from, over);
    if (over) {
      peers_.remove_if([&from](const auto& one) { return one.get() == &from; });
      return count_peers();
    }
    if (!handed) return;
    try {
      door_.take_over(*handed);
    } catch (const std::runtime_error& failure) {
      loop_.log().line(Topic::fault, "what was handed over is lost: %s", failure.what());
    }
  }
}

// Danger: the two are one relay to the limit on descriptors, and neither knows what the other holds.
void Operation::count_peers() {
  std::set<int> processes;
  for (const auto& one : peers_) processes.insert(one->process);
  processes.erase(0);
  std::size_t held = 0;
  for (const int process : processes) held += descriptors_of(process);
  door_.others_hold(held);
}

void Operation::look_at_peers() {
  count_peers();
  looking_ = !peers_.empty();
  if (looking_) loop_.wake_at(loop_.now() + kLookAgain, [this] { look_at_peers(); });
}

}  // namespace cherryrail::ops
