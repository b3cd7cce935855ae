// A loopback relay that has an admin server.
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "admin/admin_services.hpp"
#include "support/loopback_relay.hpp"
#include "support/temporary_folder.hpp"

namespace cherryrail::testing {

struct AdminRelay : LoopbackRelay {
  TemporaryFolder folder;
  int admin_port = 0;
  std::unique_ptr<admin::AdminServices> admin_services;

  explicit AdminRelay(std::size_t backend_count);

  // Connects to the admin server and sends `text`.
  TestSocket connect_operator(std::string_view text) const;
  // Waits for the end of the response and returns its status line up to the status code.
  std::string status_of(TestSocket connection);
  // Asks the admin server to "disable" or "enable" a backend and returns the response's status as
  // status_of().
  std::string change_backend(const std::string& action, const std::string& uid);
};

// A complete HTTP POST request.
std::string http_post(const std::string& path, const std::string& body);
// The uid of a LoopbackRelay's backend.
std::string backend_uid(std::size_t index);

}  // namespace cherryrail::testing
