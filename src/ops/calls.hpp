// Where operators call: listens at an address of its own and answers one HTTP/1.1 call to a connection.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "net/listener.hpp"
#include "ops/call.hpp"

namespace cherryrail::ops {

struct Reply {
  int status = 200;
  std::string text;  // JSON
};

Reply refusal(int status, const std::string& why);

// One call that is known: a further one is one more row.
struct Row {
  std::string method, path;
  std::function<Reply(const std::string& body)> handler;
};

// What the table says to a whole call: 404 for an unknown path, 405 for a known one with another method.
Reply look_up(const std::vector<Row>& table, const Call& call);

class Calls {
 public:
  static constexpr std::size_t kCallers = 12;  // at once; their descriptors are kept back

  Calls(net::Loop& loop, const net::Address& listen_on, std::vector<Row> table);
  ~Calls();

 private:
  class Caller;
  void take_in(net::SocketPtr socket);

  net::Loop& loop_;
  const std::vector<Row> table_;
  std::list<std::shared_ptr<Caller>> callers_;
  net::Listener listener_;
};

}  // namespace cherryrail::ops
