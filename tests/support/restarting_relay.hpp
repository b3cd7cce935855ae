// One relay of which there may be two processes, joined by a hot restart: both are objects in the test's
// process and have the clients' listening socket.
#pragma once

#include <memory>
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
    // Whether it has handed over all that it had.
    bool has_nothing_to_hand_over();
  };

  TemporaryFolder folder;
  TestSocket listener = TestSocket::listening();
  std::vector<TestSocket> watches;  // of each process, in the order of their start
  bool has_admin = false;
  std::vector<int> admin_ports;  // of each process, in the order of their start
  std::unique_ptr<Process> first;
  std::unique_ptr<Process> second;

  // With `has_an_admin` each process has an admin server of its own.
  explicit RestartingRelay(std::size_t backend_count, bool has_an_admin = false);

  // A process that is ready and has its endpoint list.
  std::unique_ptr<Process> start_process();
  // Starts the second process and has the first one leave.
  void replace();
};

}  // namespace cherryrail::testing
