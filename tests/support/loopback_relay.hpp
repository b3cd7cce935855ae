// Test fixture: a relay on loopback sockets whose clients, backends and discovery are played by the test.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "balancer/time.hpp"
#include "proxy/proxy_server.hpp"
#include "support/descriptor_limits.hpp"
#include "support/test_socket.hpp"

namespace cherryrail::testing {

// Encodes `text` as one chunk of a chunked HTTP body.
std::string http_chunk(const std::string& text);

// Messages of discovery: an endpoint list with only the changed endpoints, or one with all of them.
std::string endpoint_changes(int revision, const std::vector<std::string>& endpoints);
std::string endpoint_snapshot(int revision, const std::vector<std::string>& endpoints);

// Sends the head of discovery's response and its first list on a connection on which the relay has requested
// a watch.
void answer_watch(const TestSocket& connection, const std::string& list);

// The peers of the relay's two connections for a session.
struct EstablishedSession {
  TestSocket client;
  TestSocket upstream;
};

struct LoopbackRelay {
  DescriptorLimitScope descriptor_limit;
  std::vector<TestSocket> backends;
  TestSocket discovery = TestSocket::listening();
  TestSocket watch;  // the relay's connection to discovery; empty until accept_watch()
  net::EventLoop event_loop;
  config::RelayConfig relay_config;
  std::unique_ptr<proxy::ProxyServer> proxy;
  int port = 0;

  // A relay with `backend_count` known backends. `extra_settings` are JSON members that start with a comma
  // and override those of config_text(). With `starts_now` false the test has to create the proxy itself.
  explicit LoopbackRelay(std::size_t backend_count, std::size_t max_descriptors = 500,
                         const std::string& extra_settings = "", bool starts_now = true);

  // A backend's JSON entry for an endpoint list; `state` is "active" or "leaving".
  std::string endpoint(std::size_t index, const char* state) const;
  std::string config_text(std::size_t max_descriptors, const std::string& extra_settings = "") const;

  // Runs the event loop until the condition holds; returns false if it does not within the time limit.
  bool run_until(const std::function<bool()>& condition, int milliseconds = 2000);
  void run_for(int milliseconds);
  // The same while every send of the relay fails as if its peer's receive buffer were full.
  void run_with_full_buffers(int milliseconds);

  TestSocket connect_client(std::string_view first_bytes) const;
  // Accepts the connection of the next attempt to any backend and waits for its complete open request.
  TestSocket accept_attempt();
  // Accepts the connection of the next attempt to any backend and returns before the event loop has notified
  // the relay that the connection is established.
  TestSocket accept_connection();
  // Accepts the next connection of a listener; returns an empty socket if none arrives in time.
  TestSocket accept_from(const TestSocket& listener, int milliseconds = 2000);
  // Whether a backend has a pending connection on which data has arrived. Accepts and closes the connections
  // that it examines.
  bool has_unaccepted_attempt() const;
  // Expects the relay to close this connection without sending any data on it.
  void expect_ended_unused(TestSocket& connection);
  EstablishedSession establish_session(const std::string& session_id);
  // Index in `backends` of the backend that accepted this connection.
  std::size_t backend_index(const TestSocket& connection) const;

  // Accepts the relay's connection to discovery, sends the response header and returns the relay's request.
  std::string accept_watch();
  // Sends an endpoint list on the watch; accepts the watch first if there is none.
  void publish_endpoints(const std::string& list);
  // Writes `text` to a configuration file and makes the relay reload it by SIGHUP.
  void reload_config(const std::string& text);
};

}  // namespace cherryrail::testing
