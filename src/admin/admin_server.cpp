#include "admin/admin_server.hpp"

#include <algorithm>
#include <utility>

#include "net/connection.hpp"

namespace cherryrail::admin {
namespace {

// A request fits in one packet; what has not come by then does not come.
constexpr Micros kRequestTimeout = 5'000'000;

// Those that have their answer go first, then the one that has been silent longest.
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
  make_room();
  const auto connection = std::make_shared<AdminConnection>(event_loop_, routes_);
  connections_.push_back(connection);
  connection->start(std::move(socket));
  event_loop_.call_at(event_loop_.now() + kRequestTimeout,
                      [weak = std::weak_ptr<AdminConnection>(connection)] {
                        if (const auto late = weak.lock()) late->on_request_timeout();
                      });
}

// Callers that hold a connection and never complete their request would otherwise keep the next one out.
void AdminServer::make_room() {
  std::erase_if(connections_, [](const auto& connection) { return connection->is_closed(); });
  if (connections_.size() < kMaxConnections) return;
  const auto evicted = std::min_element(connections_.begin(), connections_.end(), is_evicted_before);
  (*evicted)->evict();
  connections_.erase(evicted);
}

}  // namespace cherryrail::admin
