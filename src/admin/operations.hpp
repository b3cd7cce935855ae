// What operators and the platform ask of a running relay beside its traffic: calls, bans, replacement.
#pragma once

#include <list>
#include <memory>
#include <string>

#include "admin/admin_server.hpp"
#include "admin/disabled_backends.hpp"
#include "admin/hot_restart.hpp"
#include "proxy/proxy_server.hpp"

namespace cherryrail::admin {

class Operations {
 public:
  // Throws ConfigError if operators cannot call where `mgmt` says.
  Operations(net::EventLoop& event_loop, proxy::ProxyServer& proxy, const config::RelayConfig& start);
  ~Operations();
  // Told to end: gives what it holds to the process that stands in for it from now on, if there is one.
  void leave();

 private:
  struct Peer;
  AdminResponse ban(const std::string& body, bool banned);
  void heed_bans();
  void hand_over(Micros until);
  void greet();
  void meet(net::FileDescriptor with);
  void receive(Peer& from);
  void count_peers();
  void look_at_peers();
  void look_at_bans();

  net::EventLoop& event_loop_;
  proxy::ProxyServer& proxy_;
  DisabledBackends bans_;
  std::string last_fault_;
  HotRestart succession_;
  std::unique_ptr<AdminServer> calls_;
  net::FileDescriptor successor_;
  bool handing_ = false;
  std::unique_ptr<net::IoWatch> greeter_;
  std::list<std::shared_ptr<Peer>> peers_;  // connections with the processes before and after this one
  bool looking_ = false;
};

}  // namespace cherryrail::admin
