#include "support/restarting_relay.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <string>
#include <utility>

namespace cherryrail::testing {

RestartingRelay::Process::Process(net::EventLoop& event_loop, const config::RelayConfig& relay_config)
    : proxy(event_loop, relay_config),
      admin_services(std::make_unique<admin::AdminServices>(event_loop, proxy, relay_config)) {}

bool RestartingRelay::Process::has_nothing_to_hand_over() {
  return proxy.hand_over([](const proxy::OutgoingHandover&) { return false; });
}

RestartingRelay::RestartingRelay(std::size_t backend_count, bool with_admin_server,
                                 const std::string& extra_settings)
    : LoopbackRelay(backend_count, 500, extra_settings, false), has_admin_server(with_admin_server) {
  port = listener.port();
  relay_config = config::parse_relay_config(config_text(500, extra_settings));
  relay_config.state_directory = folder.path();
  first = start_process();
}

std::unique_ptr<RestartingRelay::Process> RestartingRelay::create_process() {
  relay_config.inherited_listener = dup(listener.fd());
  if (has_admin_server) {
    admin_ports.push_back(TestSocket::listening().port());
    relay_config.admin = "127.0.0.1:" + std::to_string(admin_ports.back());
    relay_config.admin_address = net::parse_address(relay_config.admin);
  }
  return std::make_unique<Process>(event_loop, relay_config);
}

std::unique_ptr<RestartingRelay::Process> RestartingRelay::start_process() {
  auto process = create_process();
  accept_watch();
  publish_endpoints(endpoint_changes(5, {}));
  watches.push_back(std::exchange(watch, TestSocket()));
  EXPECT_TRUE(run_until([&] { return process->proxy.is_ready(); }, 500));
  run_for(20);
  return process;
}

std::unique_ptr<RestartingRelay::Process> RestartingRelay::start_without_discovery() {
  auto process = create_process();
  EXPECT_TRUE(run_until([&] { return process->proxy.is_ready(); }));
  run_for(20);
  return process;
}

void RestartingRelay::kill(Process& process) const {
  process.proxy.export_state();
  std::filesystem::remove(folder.file("cherryrail-n.serves"));
}

void RestartingRelay::replace() {
  second = start_process();
  first->admin_services->shut_down();
}

}  // namespace cherryrail::testing
