#include "proxy/session_id_registry.hpp"

#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "net/event_loop.hpp"
#include "support/heap.hpp"

namespace cherryrail::testing {
namespace {

using proxy::SessionIdRegistry;

// Registers an id, claims it and ends its session.
void use_id(SessionIdRegistry& registry, const std::string& id) {
  auto session = registry.add(id);
  ASSERT_TRUE(session);
  EXPECT_TRUE(session->claim());
}

TEST(SessionIdRegistry, RefusesAnIdInUseAndOneThatHasJustEnded) {
  const net::EventLoop event_loop;
  SessionIdRegistry registry(event_loop);
  std::optional<SessionIdRegistry::Registration> session = registry.add("77");
  ASSERT_TRUE(session);

  EXPECT_FALSE(registry.add("77"));
  EXPECT_TRUE(session->claim());
  EXPECT_TRUE(session->claim());  // a retry
  session.reset();
  EXPECT_FALSE(registry.add("77"));
  EXPECT_TRUE(registry.add("78"));
}

// An id whose request has never been sent cannot run twice.
TEST(SessionIdRegistry, AcceptsAnIdAgainThatNoRequestHasUsed) {
  const net::EventLoop event_loop;
  SessionIdRegistry registry(event_loop);
  auto session = registry.add("77");

  session.reset();

  EXPECT_TRUE(registry.add("77"));
}

// Guards against clients that ask at full speed: the number of remembered ids would be limited by nothing
// else.
TEST(SessionIdRegistry, RemembersALimitedNumberOfEndedIds) {
  const net::EventLoop event_loop;
  SessionIdRegistry registry(event_loop);
  const auto open_session = registry.add("open");
  constexpr std::size_t kBytesPerEndedId = 128;
  const std::size_t bytes_before = allocated_heap_bytes();

  for (std::size_t i = 0; i < 3 * SessionIdRegistry::kMaxEndedIds; ++i) use_id(registry, std::to_string(i));

  EXPECT_LT(allocated_heap_bytes(), bytes_before + SessionIdRegistry::kMaxEndedIds * kBytesPerEndedId);
  EXPECT_EQ(registry.ended_count(), SessionIdRegistry::kMaxEndedIds);
  EXPECT_EQ(registry.active_count(), 1u);
  EXPECT_FALSE(registry.add("open"));
}

// Guards against an id that runs twice because clients that ask at full speed, and reach no backend, have
// made the relay forget it.
TEST(SessionIdRegistry, RemembersAnIdWhateverRequestsAreRejectedInBetween) {
  const net::EventLoop event_loop;
  SessionIdRegistry registry(event_loop);
  use_id(registry, "77");

  for (std::size_t i = 0; i < 3 * SessionIdRegistry::kMaxEndedIds; ++i)
    EXPECT_TRUE(registry.add("rejected-" + std::to_string(i)));

  EXPECT_FALSE(registry.add("77"));
}

TEST(SessionIdRegistry, RefusesTheIdsThatAnotherProcessHasClaimed) {
  const net::EventLoop event_loop;
  SessionIdRegistry predecessor(event_loop);
  SessionIdRegistry successor(event_loop);
  use_id(predecessor, "ended");
  auto open_session = predecessor.add("open");
  EXPECT_TRUE(open_session->claim());
  const auto unclaimed = predecessor.add("unclaimed");

  successor.record_claims_of_peer(predecessor.claimed_ids());

  EXPECT_FALSE(successor.add("ended"));
  EXPECT_FALSE(successor.add("open"));
  EXPECT_TRUE(successor.add("unclaimed"));
  const auto handed_over = successor.adopt("open");
  EXPECT_EQ(successor.active_count(), 1u);
}

// Guards against two processes that get the same id at the same moment, both before the other has claimed it.
TEST(SessionIdRegistry, RefusesTheClaimOfAnIdThatAnotherProcessClaimsMeanwhile) {
  const net::EventLoop event_loop;
  SessionIdRegistry first(event_loop);
  SessionIdRegistry second(event_loop);
  first.on_claim([&](std::uint64_t hash) { second.record_claims_of_peer({&hash, 1}); });
  second.on_claim([&](std::uint64_t hash) { first.record_claims_of_peer({&hash, 1}); });
  auto at_first = first.add("77");
  auto at_second = second.add("77");
  ASSERT_TRUE(at_first && at_second);

  EXPECT_TRUE(at_first->claim());
  EXPECT_FALSE(at_second->claim());
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
