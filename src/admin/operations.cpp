#include "admin/operations.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace cherryrail::admin {
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

std::string path_of(const config::RelayConfig& start, const char* what) {
  if (start.admin.empty() || start.state_directory.empty()) return "";
  return start.state_directory + "/" + file_name(start.name, what);
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
struct Operations::Peer {
  net::FileDescriptor from;
  int process = 0;
  std::unique_ptr<net::IoWatch> watch;
};

Operations::Operations(net::EventLoop& event_loop, proxy::ProxyServer& proxy,
                       const config::RelayConfig& start)
    : event_loop_(event_loop), proxy_(proxy), bans_(path_of(start, "bans")),
      succession_(start.inherited_listener ? start.state_directory : "", file_name(start.name, "serves")) {
  if (start.inherited_listener) {
    if (net::FileDescriptor before = succession_.successor())
      meet(std::move(before));  // so that each counts the other in
    proxy_.on_ready([this] {
      if (!succession_.announce())
        return event_loop_.log().write(net::Topic::error,
                                       "hot restart: cannot announce this process to its predecessor");
      greeter_ = std::make_unique<net::IoWatch>(event_loop_, succession_.listening(),
                                                [this](bool, bool) { greet(); });
      greeter_->set_interest(true, false);
    });
  }
  if (start.admin.empty()) return;
  heed_bans();
  look_at_bans();
  proxy_.reserve_descriptors(AdminServer::kCallers);
  try {
    calls_ = std::make_unique<AdminServer>(
        event_loop_, start.admin_address,
        std::vector<Route>{
            {"GET", "/ready",
             [this](const std::string&) {
               return proxy_.is_ready() ? AdminResponse{200, R"({"ready":true})"}
                                        : refusal(503, "not ready to serve");
             }},
            {"POST", "/backends/disable", [this](const std::string& body) { return ban(body, true); }},
            {"POST", "/backends/enable", [this](const std::string& body) { return ban(body, false); }}});
  } catch (const std::runtime_error& failure) {
    throw config::ConfigError(config::ConfigSource::file, {"mgmt", start.admin}, failure.what());
  }
}

AdminResponse Operations::ban(const std::string& body, bool banned) {
  const auto who = who_of(body);
  if (!who) return refusal(400, "the body is not JSON with a text `who`");
  if (bans_.look()) heed_bans();
  if (!proxy_.knows_backend(*who)) return refusal(404, "no such backend");
  // Danger: a full disk must not keep an operator from taking a backend out.
  bans_.change(*who, banned);
  heed_bans();
  return {200, nlohmann::json{{"who", *who}, {"banned", banned}}.dump()};
}

void Operations::heed_bans() {
  if (bans_.fault() != std::exchange(last_fault_, bans_.fault()) && !last_fault_.empty())
    event_loop_.log().write(net::Topic::error, "disabled backends are known to this process alone: {}",
                            bans_.fault());
  proxy_.set_disabled_backends(bans_.names());
}

// While a relay is replaced there are two processes, and a call to one must hold for both.
void Operations::look_at_bans() {
  if (bans_.look() || !bans_.fault().empty()) heed_bans();
  event_loop_.call_at(event_loop_.now() + kLookAgain, [this] { look_at_bans(); });
}

Operations::~Operations() = default;

void Operations::leave() {
  if (std::exchange(handing_, true)) return;
  successor_ = succession_.successor();
  if (!successor_) return proxy_.begin_graceful_shutdown();
  proxy::HandoverMessage learned;
  learned.memory = proxy_.export_state();
  give(successor_, learned);
  hand_over(event_loop_.now() + proxy_.longest_client_timeout());
}

// Danger: a successor that dies half-way takes with it what it has been given; the rest is moved, as without
// one. What cannot go between two lines within the time that any client waits is moved, too.
void Operations::hand_over(Micros until) {
  bool alive = true;
  const bool all_gone = proxy_.hand_over([this, &alive](const proxy::HandoverMessage& handed) {
    const Gave gave = give(successor_, handed);
    alive = alive && gave != Gave::never;
    return gave == Gave::yes;
  });
  if (all_gone) return proxy_.stop_when_empty();
  // Two replacements soon after each other: the one that has gone may have a successor of its own.
  if (!alive) successor_ = succession_.successor();
  if (!successor_ || event_loop_.now() >= until) return proxy_.migrate_remaining_sessions();
  event_loop_.call_at(event_loop_.now() + kHandAgain, [this, until] { hand_over(until); });
}

void Operations::greet() {
  net::FileDescriptor from(accept4(succession_.listening(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  // Danger: whoever can open the folder could hand in connections of his own.
  if (from && peer_of(from)) meet(std::move(from));
}

void Operations::meet(net::FileDescriptor with) {
  const auto one = std::make_shared<Peer>();
  one->from = std::move(with);
  one->process = peer_of(one->from).value_or(0);
  peers_.push_back(one);
  one->watch = std::make_unique<net::IoWatch>(event_loop_, one->from.get(),
                                              [this, weak = std::weak_ptr(one)](bool, bool) {
                                                if (const auto here = weak.lock()) receive(*here);
                                              });
  one->watch->set_interest(true, false);
  if (!std::exchange(looking_, true)) look_at_peers();
}

// Danger: a message that is read without descriptors left to hold what it brings loses a tunnel.
void Operations::receive(Peer& from) {
  count_peers();
  for (int i = 0; i < kTakenAtOnce; ++i) {
    if (!proxy_.can_receive_handover()) {
      from.watch->set_interest(false, false);
      return event_loop_.call_at(event_loop_.now() + kHandAgain, [this] {
        count_peers();
        for (const auto& one : peers_) one->watch->set_interest(true, false);
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
      proxy_.receive_handover(*handed);
    } catch (const std::runtime_error& failure) {
      event_loop_.log().write(net::Topic::error, "hot restart: a handover message is lost: {}",
                              failure.what());
    }
  }
}

// Danger: the two are one relay to the limit on descriptors, and neither knows what the other holds.
void Operations::count_peers() {
  std::set<int> processes;
  for (const auto& one : peers_) processes.insert(one->process);
  processes.erase(0);
  std::size_t held = 0;
  for (const int process : processes) held += descriptors_of(process);
  proxy_.set_descriptors_held_by_peers(held);
}

void Operations::look_at_peers() {
  count_peers();
  looking_ = !peers_.empty();
  if (looking_) event_loop_.call_at(event_loop_.now() + kLookAgain, [this] { look_at_peers(); });
}

}  // namespace cherryrail::admin
