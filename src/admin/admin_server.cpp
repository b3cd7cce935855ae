#include "admin/admin_server.hpp"

#include <algorithm>
#include <utility>

#include "net/connection.hpp"

namespace cherryrail::admin {
namespace {

// Answered connections are evicted first, then the one that has been idle longest.
bool is_evicted_before(const std::shared_ptr<AdminConnection>& left,
                       const std::shared_ptr<AdminConnection>& right) {
  if (left->is_finished() != right->is_finished()) return left->is_finished();
  return left->last_received_at() < right->last_received_at();
}

}  // namespace

AdminServer::AdminServer(net::EventLoop& event_loop, const net::Address& address, std::vector<Route> routes)
    : event_loop_(event_loop), routes_(std::move(routes)),
      listener_(event_loop, net::create_listening_socket(address),
                [this](net::SocketPtr socket) { accept(std::move(socket)); }) {
  listener_.set_accepting(true);
}

AdminServer::~AdminServer() = default;

void AdminServer::accept(net::SocketPtr socket) {
  evict_if_full();
  const auto connection = std::make_shared<AdminConnection>(event_loop_, routes_);
  connections_.push_back(connection);
  connection->start(std::move(socket));
}

// Without eviction, operators that never complete their requests would hold all connections and block further
// requests.
void AdminServer::evict_if_full() {
  std::erase_if(connections_, [](const auto& connection) { return connection->is_closed(); });
  if (connections_.size() < kMaxConnections) return;
  const auto evicted = std::min_element(connections_.begin(), connections_.end(), is_evicted_before);
  (*evicted)->evict();
  connections_.erase(evicted);
}

}  // namespace cherryrail::admin
