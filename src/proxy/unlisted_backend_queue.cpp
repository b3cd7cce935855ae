#include "proxy/unlisted_backend_queue.hpp"

#include <algorithm>
#include <utility>

namespace cherryrail::proxy {
namespace {

// A change of the endpoint list counts as told so long after discovery had it.
constexpr Micros kLatestList = 6'000'000;
// The answer leaves this long before the client stops waiting.
constexpr Micros kAnswerMargin = 20'000;

bool is_over(const std::shared_ptr<ProxySession>& session) {
  return !session || session->is_answered || session->pinned_backend;
}

}  // namespace

void UnlistedBackendQueue::add(const std::shared_ptr<ProxySession>& session) {
  std::erase_if(waiting_, [](const WeakSession& waiting) { return is_over(waiting.lock()); });
  const WeakSession& waiting = waiting_.emplace_back(session);
  const Micros latest = std::min(event_loop_.now() + kLatestList, session->deadline - kAnswerMargin);
  event_loop_.call_at(latest, [this, waiting] { give_up(waiting); });
}

void UnlistedBackendQueue::on_endpoint_list(const protocol::EndpointList& list) {
  const bool names_all = list.is_complete && list.skipped_entries == 0;
  for (const WeakSession& waiting : std::exchange(waiting_, {})) {
    const auto session = waiting.lock();
    if (is_over(session)) continue;
    session->pinned_backend = endpoints_.find(session->request().value("at"));
    if (session->pinned_backend) {
      balancer_.admit(session);
    } else if (names_all) {
      balancer_.give_up(*session);
    } else {
      waiting_.push_back(waiting);
    }
  }
}

void UnlistedBackendQueue::give_up(const WeakSession& waiting) {
  const auto session = waiting.lock();
  if (!is_over(session)) balancer_.give_up(*session);
}

}  // namespace cherryrail::proxy
