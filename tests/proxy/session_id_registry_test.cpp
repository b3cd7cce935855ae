#include "proxy/session_id_registry.hpp"

#include <gtest/gtest.h>

#include <optional>
#include <string>

#include "net/event_loop.hpp"

namespace cherryrail::testing {
namespace {

using proxy::SessionIdRegistry;

TEST(SessionIdRegistry, RefusesAnIdInUseAndOneThatHasJustEnded) {
  const net::EventLoop event_loop;
  SessionIdRegistry registry(event_loop);
  std::optional<SessionIdRegistry::Registration> session = registry.add("77");
  ASSERT_TRUE(session);

  EXPECT_FALSE(registry.add("77"));
  session.reset();
  EXPECT_FALSE(registry.add("77"));
  EXPECT_TRUE(registry.add("78"));
}

// Guards against clients that ask at full speed: the number of remembered ids would be limited by nothing
// else.
TEST(SessionIdRegistry, RemembersALimitedNumberOfEndedIds) {
  const net::EventLoop event_loop;
  SessionIdRegistry registry(event_loop);
  const auto open_session = registry.add("open");

  for (std::size_t i = 0; i < 3 * SessionIdRegistry::kMaxEndedIds; ++i)
    EXPECT_TRUE(registry.add(std::to_string(i))) << i;

  EXPECT_EQ(registry.ended_count(), SessionIdRegistry::kMaxEndedIds);
  EXPECT_EQ(registry.active_count(), 1u);
  EXPECT_FALSE(registry.add("open"));
}

TEST(SessionIdRegistry, RegistrationMayOutliveTheRegistry) {
  const net::EventLoop event_loop;
  auto registry = std::make_optional<SessionIdRegistry>(event_loop);
  auto session = registry->add("77");

  registry.reset();
  session.reset();

  EXPECT_FALSE(session);
}

}  // namespace
}  // namespace cherryrail::testing
