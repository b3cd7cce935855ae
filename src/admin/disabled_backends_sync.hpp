// Keeps the proxy, the file and the operators' calls at one set of disabled backends.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "admin/disabled_backends.hpp"
#include "net/event_loop.hpp"
#include "proxy/proxy_server.hpp"

namespace cherryrail::admin {

// While a relay is replaced there are two processes, and a call to one has to hold for both: so the file is
// looked at time and again.
class DisabledBackendsSync {
 public:
  enum class ChangeResult : std::uint8_t { applied, unknown_backend };

  // Reads the file at `path`; with an empty path nothing is kept beyond this process.
  DisabledBackendsSync(net::EventLoop& event_loop, proxy::ProxyServer& proxy, std::string path);

  // Tells the proxy what the file holds, from now on after each change of it, too.
  void start();
  // An operator's call. If the file cannot be written, the change holds for this process alone and the log
  // says so.
  ChangeResult set_disabled(const std::string& uid, bool is_disabled);
  // What the predecessor was told and could not store.
  void take_over(const DisabledBackends::Changes& changes);
  // What this process was told and could not store yet.
  const DisabledBackends::Changes& pending_changes() const { return disabled_backends_.pending_changes(); }

 private:
  void apply();
  void poll_file();

  net::EventLoop& event_loop_;
  proxy::ProxyServer& proxy_;
  DisabledBackends disabled_backends_;
  std::optional<StorageError> logged_error_;
};

}  // namespace cherryrail::admin
