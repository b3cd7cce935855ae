// Synchronizes the set of disabled backends between operators' requests, the file and the proxy.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "admin/disabled_backends.hpp"
#include "net/event_loop.hpp"
#include "net/timer.hpp"
#include "proxy/proxy_server.hpp"

namespace cherryrail::admin {

// During a hot restart two processes run, and an operator's request to one has to apply to both. So the file
// is polled for changes.
class DisabledBackendsSync {
 public:
  enum class ChangeResult : std::uint8_t { applied, unknown_backend };

  // Reads the file at `path`; with an empty path, the set is not stored.
  DisabledBackendsSync(net::EventLoop& event_loop, proxy::ProxyServer& proxy, std::string path);

  // Applies the set to the proxy, now and after each change of the file.
  void start();
  // Handles an operator's request. If the file cannot be written, the change applies to this process only,
  // which is logged.
  ChangeResult set_disabled(const std::string& uid, bool is_disabled);
  // Applies the changes that the predecessor could not store.
  void take_over(const DisabledBackends::Changes& changes);
  // The changes that this process could not store yet.
  const DisabledBackends::Changes& pending_changes() const { return disabled_backends_.pending_changes(); }

 private:
  void apply();
  void poll_file();

  net::EventLoop& event_loop_;
  proxy::ProxyServer& proxy_;
  DisabledBackends disabled_backends_;
  std::optional<StorageError> logged_error_;
  net::Timer poll_timer_;
};

}  // namespace cherryrail::admin
