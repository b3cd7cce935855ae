#include "support/restarting_relay.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <utility>

namespace cherryrail::testing {

RestartingRelay::Process::Process(net::EventLoop& event_loop, const config::RelayConfig& relay_config)
    : proxy(event_loop, relay_config),
      admin_services(std::make_unique<admin::AdminServices>(event_loop, proxy, relay_config)) {}

bool RestartingRelay::Process::is_empty() {
  return proxy.hand_over([](const proxy::OutgoingHandover&) { return false; });
}

RestartingRelay::RestartingRelay(std::size_t backend_count) : LoopbackRelay(backend_count, 500, "", false) {
  port = listener.port();
  relay_config = config::parse_relay_config(config_text(500));
  relay_config.state_directory = folder.path();
  first = start_process();
}

std::unique_ptr<RestartingRelay::Process> RestartingRelay::start_process() {
  relay_config.inherited_listener = dup(listener.fd());
  auto process = std::make_unique<Process>(event_loop, relay_config);
  accept_watch();
  publish_endpoints(endpoint_changes(5, {}));
  watches.push_back(std::exchange(watch, TestSocket()));
  EXPECT_TRUE(run_until([&] { return process->proxy.is_ready(); }, 500));
  run_for(20);
  return process;
}

void RestartingRelay::replace() {
  second = start_process();
  first->admin_services->shut_down();
}

}  // namespace cherryrail::testing
