// A loopback relay with its admin server.
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

  // A connection to the admin server that has sent this.
  TestSocket connect_operator(std::string_view text) const;
  // The first line of the response, up to the status.
  std::string status_of(TestSocket connection);
  // Has the admin server disable or enable a backend, and gives the status.
  std::string change_backend(const std::string& action, const std::string& uid);
};

// A whole request with a body.
std::string http_post(const std::string& path, const std::string& body);
// The uid of a loopback relay's backend.
std::string backend_uid(std::size_t index);

}  // namespace cherryrail::testing
