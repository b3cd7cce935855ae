#include "proxy/unlisted_backend_queue.hpp"

#include <algorithm>
#include <utility>

namespace cherryrail::proxy {
namespace {

// A change of the endpoint list is expected to reach the relay within this time after discovery has it.
constexpr Micros kMaxListDelay = 6'000'000;
// The rejection is sent this long before the client stops waiting.
constexpr Micros kAnswerMargin = 20'000;

bool needs_no_backend(const std::shared_ptr<ProxySession>& session) {
  return !session || session->is_answered || session->pinned_backend;
}

}  // namespace

void UnlistedBackendQueue::add(const std::shared_ptr<ProxySession>& session) {
  remove_finished();
  const Micros wait_until = std::min(event_loop_.now() + kMaxListDelay, session->deadline - kAnswerMargin);
  const std::weak_ptr<ProxySession> weak = session;
  waiting_.push_back({weak, net::Timer(event_loop_, wait_until, [this, weak] {
                        const auto waiting = weak.lock();
                        if (!needs_no_backend(waiting)) balancer_.give_up(*waiting);
                      })});
}

void UnlistedBackendQueue::remove_finished() {
  std::erase_if(waiting_,
                [](const WaitingSession& waiting) { return needs_no_backend(waiting.session.lock()); });
}

void UnlistedBackendQueue::on_endpoint_list(const protocol::EndpointList& list) {
  const bool lists_all_backends = list.is_complete && list.skipped_entries == 0;
  for (WaitingSession& waiting : std::exchange(waiting_, {})) {
    const auto session = waiting.session.lock();
    if (needs_no_backend(session)) continue;
    session->pinned_backend = endpoints_.find(session->request().value("at"));
    if (session->pinned_backend) {
      balancer_.admit(session);
    } else if (lists_all_backends) {
      balancer_.give_up(*session);
    } else {
      waiting_.push_back(std::move(waiting));
    }
  }
}

}  // namespace cherryrail::proxy
