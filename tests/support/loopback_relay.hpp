// A relay on loopback sockets, with its clients, backends and discovery in the test's hands.
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

// The text as one chunk of a chunked HTTP body.
std::string http_chunk(const std::string& text);

// What discovery sends: only what changed, or all endpoints.
std::string endpoint_changes(int revision, const std::vector<std::string>& endpoints);
std::string endpoint_snapshot(int revision, const std::vector<std::string>& endpoints);

// The far ends of a session's two connections.
struct EstablishedSession {
  TestSocket client;
  TestSocket upstream;
};

struct LoopbackRelay {
  DescriptorLimitScope descriptor_limit;
  std::vector<TestSocket> backends;
  TestSocket discovery = TestSocket::listening();
  TestSocket watch;  // the relay's connection at discovery, once a test has accepted it
  net::EventLoop event_loop;
  config::RelayConfig relay_config;
  std::unique_ptr<proxy::ProxyServer> proxy;
  int port = 0;

  // A relay that knows so many backends and may use so many descriptors; `extra_settings` are JSON members
  // that begin with a comma and override the test's own. Without `starts_now` the test makes the proxy.
  explicit LoopbackRelay(std::size_t backend_count, std::size_t max_descriptors = 500,
                         const std::string& extra_settings = "", bool starts_now = true);

  // A backend as endpoint lists name it; its state is "active" or "leaving".
  std::string endpoint(std::size_t index, const char* state) const;
  std::string config_text(std::size_t max_descriptors, const std::string& extra_settings = "") const;

  // Runs the event loop until the condition holds; false where it does not come to that in time.
  bool run_until(const std::function<bool()>& condition, int milliseconds = 2000);
  void run_for(int milliseconds);

  TestSocket connect_client(std::string_view first_bytes) const;
  // The connection of the next attempt at any backend, once its open request is whole.
  TestSocket accept_attempt();
  // The connection of the next attempt at any backend, at the instant in which the relay has asked for it:
  // the relay learns at its next turn that it is up.
  TestSocket accept_connection();
  // The next connection at a listener, empty where none comes in time.
  TestSocket accept_from(const TestSocket& listener, int milliseconds = 2000);
  // Whether an attempt has reached a backend that the test has not accepted.
  bool has_unaccepted_attempt() const;
  // The relay must close this connection without having sent a byte on it.
  void expect_ended_unused(TestSocket& connection);
  EstablishedSession establish_session(const std::string& session_id);
  // Whose connection that is, as an index of `backends`.
  std::size_t backend_index(const TestSocket& connection) const;

  // Accepts the relay's connection at discovery, begins the answer, and gives what the relay asked.
  std::string accept_watch();
  // Sends an endpoint list on the watch, which is accepted first where there is none.
  void publish_endpoints(const std::string& list);
  // Puts a file in the place of the configuration and has the relay read it on SIGHUP.
  void reload_config(const std::string& text);
};

}  // namespace cherryrail::testing
