// What operators and the platform ask of a running relay beside its traffic: calls, bans, replacement.
#pragma once

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
  void leave();
  void reload(const std::string& path);

 private:
  Reply ban(const std::string& body, bool banned);
  void heed_bans();
  void look_at_bans();

  net::Loop& loop_;
  net::Door& door_;
  Bans bans_;
  std::string last_fault_;
  Succession succession_;
  std::unique_ptr<Calls> calls_;
};

}  // namespace cherryrail::ops
