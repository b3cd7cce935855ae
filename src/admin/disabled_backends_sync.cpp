#include "admin/disabled_backends_sync.hpp"

#include <utility>

namespace cherryrail::admin {
namespace {

// The delay until this process notices a change by another one. Polling an unchanged file costs one system
// call.
constexpr Micros kPollInterval = 100'000;

}  // namespace

DisabledBackendsSync::DisabledBackendsSync(net::EventLoop& event_loop, proxy::ProxyServer& proxy,
                                           std::string path)
    : event_loop_(event_loop), proxy_(proxy), disabled_backends_(std::move(path)) {}

void DisabledBackendsSync::start() {
  apply();
  poll_file();
}

DisabledBackendsSync::ChangeResult DisabledBackendsSync::set_disabled(const std::string& uid,
                                                                      bool is_disabled) {
  if (disabled_backends_.reload_if_changed()) apply();
  if (!proxy_.knows_backend(uid)) return ChangeResult::unknown_backend;
  // The result is ignored: a full disk must not prevent an operator from disabling a backend. Changes that
  // are not stored are retried each time the file is polled.
  disabled_backends_.set_disabled(uid, is_disabled);
  apply();
  return ChangeResult::applied;
}

void DisabledBackendsSync::take_over(const DisabledBackends::Changes& changes) {
  for (const auto& [uid, is_disabled] : changes) disabled_backends_.set_disabled(uid, is_disabled);
  apply();
}

void DisabledBackendsSync::apply() {
  const auto& error = disabled_backends_.error();
  const bool is_new_error = error != std::exchange(logged_error_, error);
  if (error && is_new_error)
    event_loop_.log().write(net::Topic::error, "disabled backends are known to this process alone: {}",
                            error->message());
  proxy_.set_disabled_backends(disabled_backends_.uids());
}

void DisabledBackendsSync::poll_file() {
  const bool is_reloaded = disabled_backends_.reload_if_changed();
  const bool had_pending_changes = !disabled_backends_.pending_changes().empty();
  disabled_backends_.store_pending_changes();
  if (is_reloaded || had_pending_changes || disabled_backends_.error()) apply();
  poll_timer_ = net::Timer(event_loop_, event_loop_.now() + kPollInterval, [this] { poll_file(); });
}

}  // namespace cherryrail::admin
