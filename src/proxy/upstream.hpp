// Carries setups out to backends, each on a connection of its own, and the server's end of each tunnel.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "net/connection.hpp"
#include "proxy/proxy_session.hpp"

namespace cherryrail::proxy {

class UpstreamConnector {
 public:
  using ReadReport = std::function<LoadReport(std::string_view)>;
  using Told = std::function<void(ProxySession&, double figure)>;  // by a LOAD line

  UpstreamConnector(net::EventLoop& event_loop, Micros connect_limit, ReadReport read_report, Told told);
  ~UpstreamConnector();
  void start(const std::shared_ptr<ProxySession>& session, const net::Address& to, Micros limit);
  // One that another process has set up.
  void stands(const std::shared_ptr<ProxySession>& session, net::SocketPtr socket);
  // AdminServer `tell` for each tunnel whose client has waited so long for a line, once a wait.
  void silent_for(Micros wait, const std::function<void(ProxySession&)>& tell);

 private:
  class Server;
  std::shared_ptr<Server> admit(const std::shared_ptr<ProxySession>& session, Micros limit);

  net::EventLoop& event_loop_;
  Micros connect_limit_;
  ReadReport read_report_;
  Told told_;
  std::map<std::uint64_t, std::shared_ptr<Server>> servers_;
  std::uint64_t last_ = 0;
};

}  // namespace cherryrail::proxy
