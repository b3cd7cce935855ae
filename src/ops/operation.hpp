// What operators and the platform ask of a running relay beside its traffic: calls, bans, replacement.
#pragma once

#include <list>
#include <memory>
#include <string>

#include "net/door.hpp"
#include "ops/bans.hpp"
#include "ops/calls.hpp"
#include "ops/takeover.hpp"

namespace cherryrail::ops {

class Operation {
 public:
  // Throws BadSetting if operators cannot call where `mgmt` says.
  Operation(net::Loop& loop, net::Door& door, const net::Start& start);
  ~Operation();
  // Told to end: gives what it holds to the process that stands in for it from now on, if there is one.
  void leave();

 private:
  struct Peer;
  Reply ban(const std::string& body, bool banned);
  void heed_bans();
  void hand_over(Micros until);
  void greet();
  void meet(Handle with);
  void receive(Peer& from);
  void count_peers();
  void look_at_peers();
  void look_at_bans();

  net::Loop& loop_;
  net::Door& door_;
  Bans bans_;
  std::string last_fault_;
  Succession succession_;
  std::unique_ptr<Calls> calls_;
  Handle heir_;
  bool handing_ = false;
  std::unique_ptr<net::Watch> greeter_;
  std::list<std::shared_ptr<Peer>> peers_;  // connections with the processes before and after this one
  bool looking_ = false;
};

}  // namespace cherryrail::ops
