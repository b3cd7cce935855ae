#include "proxy/upstream_connector.hpp"

#include <utility>
#include <vector>

namespace cherryrail::proxy {

UpstreamConnector::UpstreamConnector(net::EventLoop& event_loop, Micros connect_timeout,
                                     UpstreamCallbacks callbacks)
    : event_loop_(event_loop), connect_timeout_(connect_timeout), callbacks_(std::move(callbacks)) {}

UpstreamConnector::BackendConnectionPtr UpstreamConnector::add_connection(
    const std::shared_ptr<ProxySession>& session) {
  ++last_number_;
  BackendConnectionOwner& owner = *this;
  auto connection = std::make_shared<BackendConnection>(event_loop_, owner, last_number_, session);
  connections_.emplace(last_number_, connection);
  return connection;
}

void UpstreamConnector::start_attempt(const std::shared_ptr<ProxySession>& session,
                                      const net::Address& address, Micros attempt_timeout,
                                      unsigned connect_timeout_factor) {
  add_connection(session)->start(address, connect_timeout_factor * connect_timeout_, attempt_timeout);
}

void UpstreamConnector::add_established(const std::shared_ptr<ProxySession>& session, net::SocketPtr socket) {
  add_connection(session)->resume(std::move(socket));
}

void UpstreamConnector::for_each_unanswered(Micros min_wait,
                                            const std::function<void(ProxySession&)>& visit) {
  // Collected first, because `visit` may close connections, which modifies the map.
  std::vector<BackendConnectionPtr> unanswered;
  for (const auto& [number, connection] : connections_) {
    if (connection->session().time_unanswered(event_loop_.now()) >= min_wait)
      unanswered.push_back(connection);
  }
  for (const auto& connection : unanswered) visit(connection->session());
}

LoadReport UpstreamConnector::parse_load_report(std::string_view fields) const {
  return callbacks_.parse_load_report(fields);
}

void UpstreamConnector::on_load_line(ProxySession& session, double value) {
  callbacks_.on_load_line(session, value);
}

void UpstreamConnector::on_closed(std::uint64_t number, UpstreamResult result) {
  result_counts_.add(result);
  event_loop_.post([this, number] { connections_.erase(number); });
}

}  // namespace cherryrail::proxy
