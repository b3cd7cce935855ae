// Takes in clients: listens, reads each first line, and carries a client's end of its tunnel.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "net/connection.hpp"
#include "net/listener.hpp"
#include "proxy/proxy_session.hpp"

namespace cherryrail::proxy {

class DownstreamListener {
 public:
  using Make = std::function<std::shared_ptr<ProxySession>(std::string_view line)>;
  using Take = std::function<void(const std::shared_ptr<ProxySession>&)>;

  using Full = std::function<bool()>;

  // `make` gives an exchange for a first line; `take` takes it in once the client stands in it. `full` tells
  // when descriptors run short. Nobody is taken in until that is asked for.
  DownstreamListener(net::EventLoop& event_loop, net::SocketPtr listening, Make make, Take take, Full full);
  ~DownstreamListener();
  std::size_t tunnels() const;  // how many clients have one, or wait for it
  bool empty() const { return clients_.empty(); }
  bool awaits_lines() const;  // somebody is in the midst of its first line
  // The process is about to end: whoever has come by now is answered, what is open is told to move. With
  // `closing` nobody can connect from then on, else whoever does is the next process's.
  void last_call(bool closing);
  void take_in(bool wanted) { listener_.set_accepting(wanted); }
  // Between two processes. `give` tells whether another process has what it was told of; where it says no,
  // the rest waits. Then both of what came from there: a client that has asked for nothing, or one with a
  // tunnel.
  using Give = std::function<bool(OutgoingHandover, const ProxySession*)>;
  void hand_over(const Give& give);
  void come(net::SocketPtr socket, std::string_view begun, Micros waited);
  void stands(net::SocketPtr socket, const std::shared_ptr<ProxySession>& session);
  // Gives up a connection that serves nobody: the longest on its way out, else the one that has
  // written nothing for longest.
  void make_room();

 private:
  class Client;
  void come(net::SocketPtr socket);
  std::shared_ptr<Client> admit();
  std::vector<std::shared_ptr<Client>> everybody() const;  // those who leave meanwhile included
  void look_whether_quiet(const std::shared_ptr<Client>& client, Micros at);

  net::EventLoop& event_loop_;
  Make make_;
  Take take_;
  Full full_;
  std::map<std::uint64_t, std::shared_ptr<Client>> clients_;  // in the order in which they came
  std::set<std::uint64_t> quiet_;                             // those that have asked for no tunnel
  std::deque<std::weak_ptr<net::Connection>> on_their_way_;   // they have their answer and may still read it
  std::uint64_t last_ = 0;
  bool making_room_ = false;
  net::Listener listener_;
};

}  // namespace cherryrail::proxy
