// Where operators call: listens at an address of its own and answers one HTTP/1.1 call to a connection.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "net/listener.hpp"
#include "protocol/http_request.hpp"

namespace cherryrail::admin {

struct AdminResponse {
  int status = 200;
  std::string text;  // JSON
};

AdminResponse refusal(int status, const std::string& why);

// One call that is known: a further one is one more row.
struct Route {
  std::string method, path;
  std::function<AdminResponse(const std::string& body)> handler;
};

// What the table says to a whole call: 404 for an unknown path, 405 for a known one with another method.
AdminResponse look_up(const std::vector<Route>& table, const protocol::HttpRequest& call);

class AdminServer {
 public:
  static constexpr std::size_t kCallers = 12;  // at once; their descriptors are kept back

  AdminServer(net::EventLoop& event_loop, const net::Address& listen_on, std::vector<Route> table);
  ~AdminServer();

 private:
  class AdminConnection;
  void take_in(net::SocketPtr socket);

  net::EventLoop& event_loop_;
  const std::vector<Route> table_;
  std::list<std::shared_ptr<AdminConnection>> callers_;
  net::Listener listener_;
};

}  // namespace cherryrail::admin
