// Test fixture for a hot restart: a relay and its successor. Both are objects in the test process and share
// the listening socket for clients.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "admin/admin_services.hpp"
#include "support/loopback_relay.hpp"
#include "support/temporary_folder.hpp"

namespace cherryrail::testing {

struct RestartingRelay : LoopbackRelay {
  struct Process {
    proxy::ProxyServer proxy;
    std::unique_ptr<admin::AdminServices> admin_services;

    Process(net::EventLoop& event_loop, const config::RelayConfig& relay_config);
    // Whether nothing is left to hand over to a successor.
    bool has_nothing_to_hand_over();
  };

  TemporaryFolder folder;
  TestSocket listener = TestSocket::listening();
  std::vector<TestSocket> watches;  // one per process, in the order of their start
  bool has_admin_server = false;
  std::vector<int> admin_ports;  // one per process, in the order of their start
  std::unique_ptr<Process> first;
  std::unique_ptr<Process> second;

  // With `with_admin_server` true each process has its own admin server. `extra_settings` as in
  // LoopbackRelay.
  explicit RestartingRelay(std::size_t backend_count, bool with_admin_server = false,
                           const std::string& extra_settings = "");

  // Starts a process, sends it an endpoint list and waits until it is ready.
  std::unique_ptr<Process> start_process();
  // Starts a process that hears nothing from discovery, and waits until it is ready.
  std::unique_ptr<Process> start_without_discovery();
  // Stands in for a kill, since a proxy must not be destroyed while the event loop runs: from now on the
  // process accepts and hands over nothing, and none that starts later can reach it.
  void kill(Process& process) const;
  // Starts the second process and shuts the first one down.
  void replace();

 private:
  // Creates a process with its own admin address.
  std::unique_ptr<Process> create_process();
};

}  // namespace cherryrail::testing
