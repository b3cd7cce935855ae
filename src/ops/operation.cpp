#include "ops/operation.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace cherryrail::ops {
namespace {

using net::Topic;

constexpr Micros kLookAtBans = 100'000;  // a call to the other process holds here so much later at most

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

Operation::Operation(net::Loop& loop, net::Door& door, const net::Start& start)
    : loop_(loop), door_(door), bans_(path_of(start, "bans")),
      succession_(start.clients_fd >= 0 ? start.kept_in : "", file_name(start.name, "serves")) {
  if (start.clients_fd >= 0) {
    door_.on_ready([this] {
      if (!succession_.announce())
        loop_.log().line(Topic::fault, "cannot tell a predecessor that this serves");
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
  bans_.look();
  if (!door_.knows(*who) && !bans_.names().contains(*who)) return refusal(404, "no such backend");
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
  loop_.wake_at(loop_.now() + kLookAtBans, [this] { look_at_bans(); });
}

void Operation::leave() { door_.leave(static_cast<bool>(succession_.heir())); }

void Operation::reload(const std::string& path) { door_.reload(path); }

}  // namespace cherryrail::ops
