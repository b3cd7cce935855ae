// The module's door on sockets: turns what the two sides, discovery and probes bring into calls on the
// Relay, and carries out what it asks. Decides nothing.
#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "net/client_side.hpp"
#include "net/discovery.hpp"
#include "net/loop.hpp"
#include "net/probes.hpp"
#include "net/server_side.hpp"
#include "net/start.hpp"

namespace cherryrail::net {

class Door final : public Host {
 public:
  Door(Loop& loop, const Start& start);
  ~Door() override;
  // Calls `then` once clients can be placed, and takes them in from then on.
  void on_ready(std::function<void()> then);
  bool ready() const { return ready_ && !leaving_; }
  // Once no more are sent here, moves every client, answers those that come all the same, and quits the loop.
  void leave();
  // Instead: takes nobody in any more, for another process does, and gives that process what it holds as far
  // as that can go now. True once nothing is left.
  using Give = std::function<bool(const Handed&)>;
  Memory succeeded();
  bool hand_over(const Give& give);
  void move_rest();  // what could not be given
  // What another process has given; the descriptors are closed with what comes of it.
  void take_over(const Handed& handed);
  void others_hold(std::size_t sockets) { others_hold_ = sockets; }  // of the same limit
  bool can_take_over() const;                                        // there are descriptors for one more
  void end_when_empty();
  Micros longest_wait() const;
  // Whether operators may speak of that backend: the list has named it, or it is banned.
  bool knows(const std::string& uid) const { return backends_.contains(uid) || banned_.contains(uid); }
  // Those, and no others, are left out from now on.
  void ban(const std::set<std::string>& uids);
  // More descriptors than the usual are kept back: for operators.
  void keep_back(std::size_t sockets) {
    kept_back_ = std::min(kept_back_ + sockets, most_kept_back(sockets_));
  }
  // Reads the configuration again and takes what may change under way: where discovery is and how many
  // descriptors there are. One that cannot be used leaves the old one in force.
  void reload(const std::string& path);

  Micros now() const override { return loop_.now(); }
  void send_setup(Tunnel& tun, Backend& ep, Micros time_limit) override;
  void abandon_setup(Tunnel& tun) override;
  void decline(Tunnel& tun, Micros hold_off) override;
  void close_with_error(Tunnel& tun) override;
  void move(Tunnel& tun) override;
  void probe(Backend& ep) override;
  void follow_list() override;
  void wake_at(Micros when, std::function<void()> then) override { loop_.wake_at(when, std::move(then)); }
  void log(const std::string& line) override { loop_.log().line(Topic::module, "%s", line.c_str()); }

 private:
  struct Endpoint;

  void take(const std::shared_ptr<Exchange>& tun);
  const char* read_tunnel(Exchange& tun);
  // Danger: with all that is usually kept back, the smallest limit would leave nothing for clients.
  static std::size_t most_kept_back(std::size_t sockets) { return 5 * sockets / 8; }
  bool full() const;  // descriptors run short
  bool id_known(const std::shared_ptr<Exchange>& tun);
  void list_heard(const List& list);
  const std::shared_ptr<Endpoint>& endpoint(const std::string& uid);  // made where it is not known yet
  void serve();
  void told(Exchange& tun, double figure);
  void look_for_silence();
  void look_whether_empty(Micros empty_since);
  LoadReport read_report(std::string_view text) const;
  unsigned zone_of(const std::string& name);

  Loop& loop_;
  std::string listen_;
  Settled settled_;
  Facts facts_;
  std::size_t sockets_, kept_back_, others_hold_ = 0;
  std::map<std::string, std::shared_ptr<Endpoint>, std::less<>> backends_;  // by uid
  std::vector<std::string> zones_;
  using Ids = std::map<std::string, std::weak_ptr<Exchange>, std::less<>>;
  Ids ids_;
  std::deque<std::pair<Micros, Ids::iterator>> ids_by_age_;  // when to look at each next
  std::set<std::string> banned_;                             // by operators; some may be on no list
  bool ready_ = false, leaving_ = false;
  const bool inherited_;  // the clients' listening socket: another process has it after this one
  Micros told_to_end_ = 0;
  std::function<void()> on_ready_;
  Discovery discovery_;
  Probes probes_;
  ServerSide servers_;
  std::unique_ptr<Relay> relay_;
  std::unique_ptr<ClientSide> clients_;  // last: clients come once all else stands
};

}  // namespace cherryrail::net
