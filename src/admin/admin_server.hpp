// The HTTP/1.1 server for operators: has its own listening address and answers one request per connection.
#pragma once

#include <cstddef>
#include <list>
#include <memory>
#include <vector>

#include "admin/admin_connection.hpp"
#include "admin/route_table.hpp"
#include "net/listener.hpp"

namespace cherryrail::admin {

class AdminServer {
 public:
  // Maximum number of open connections, whose descriptors are withheld from clients.
  static constexpr std::size_t kMaxConnections = 12;

  // Throws std::runtime_error if the server cannot listen at `address`.
  AdminServer(net::EventLoop& event_loop, const net::Address& address, std::vector<Route> routes);
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;
  AdminServer(AdminServer&&) = delete;
  AdminServer& operator=(AdminServer&&) = delete;

 private:
  void accept(net::SocketPtr socket);
  void evict_if_full();

  net::EventLoop& event_loop_;
  const RouteTable routes_;
  std::list<std::shared_ptr<AdminConnection>> connections_;
  net::Listener listener_;
};

}  // namespace cherryrail::admin
