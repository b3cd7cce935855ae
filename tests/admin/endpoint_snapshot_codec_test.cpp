// The encoding and the transfer of endpoint snapshots between two processes.
#include "admin/endpoint_snapshot_codec.hpp"

#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "admin/endpoint_snapshot_transfer.hpp"
#include "admin/handover_codec.hpp"

namespace cherryrail::testing {
namespace {

proxy::EndpointSnapshot snapshot_of(std::size_t backends) {
  proxy::EndpointSnapshot snapshot{{41, true, {}, 0}, 97};
  for (std::size_t i = 0; i < backends; ++i) {
    const std::string number = std::to_string(i);
    snapshot.list.entries.push_back({"s-" + number, "10.1.0.18:" + number, "zone \"a\"", 3,
                                     i % 2 == 0 ? EndpointState::ready : EndpointState::draining, 0.25,
                                     1'733'119'200'123'000 + static_cast<Micros>(i) * kSecond});
  }
  return snapshot;
}

TEST(EndpointSnapshotCodec, ASnapshotIsReadAsWritten) {
  const proxy::EndpointSnapshot snapshot = snapshot_of(3);

  const auto read = admin::decode_endpoint_snapshot(admin::encode_endpoint_snapshot(snapshot));

  ASSERT_TRUE(read);
  EXPECT_EQ(read->highest_version, 97);
  EXPECT_EQ(read->list.version, 41);
  EXPECT_TRUE(read->list.is_complete);
  ASSERT_EQ(read->list.entries.size(), 3u);
  for (std::size_t i = 0; i < 3; ++i) {
    const protocol::EndpointEntry& entry = read->list.entries[i];
    const protocol::EndpointEntry& expected = snapshot.list.entries[i];
    EXPECT_EQ(entry.uid, expected.uid);
    EXPECT_EQ(entry.address, expected.address);
    EXPECT_EQ(entry.zone, expected.zone);
    EXPECT_EQ(entry.cell, expected.cell);
    EXPECT_EQ(entry.state, expected.state);
    EXPECT_EQ(entry.capacity_hint, expected.capacity_hint);
    EXPECT_EQ(entry.started_at, expected.started_at);
  }
}

// The bytes were recorded from the first build that wrote them. Builds of the same version have to read them.
TEST(EndpointSnapshotCodec, TheFormatOfVersionOneDoesNotChange) {
  const proxy::EndpointSnapshot snapshot{
      {5, true, {{"s-1", "h:1", "a", 2, EndpointState::draining, 1, 7000}}, 0}, 6};

  EXPECT_EQ(admin::encode_endpoint_snapshot(snapshot),
            R"(cherryrail-endpoints 1 161 3efbfd5abb35192ae22bc45b5429c3702f8591847d1effb205ba7ab6bed9d006
{"highest_rev":6,"list":{"all":true,"rev":5,"targets":[{"az":"a","boot_ms":7,"capacity_hint":1.0,"endpoint":"h:1","pod_group":2,"state":"leaving","uid":"s-1"}]}})");
}

// Flips, removes, repeats or inserts bytes.
std::string mutated(std::string bytes, std::mt19937& random) {
  const auto below = [&random](std::size_t limit) { return random() % limit; };
  const std::size_t position = below(bytes.size());
  const std::size_t length = 1 + below(bytes.size() - position);
  switch (below(5)) {
    case 0:
      bytes[position] = static_cast<char>(bytes[position] ^ (1 << below(8)));
      break;
    case 1:
      bytes.erase(position, length);
      break;
    case 2:
      bytes.insert(position, bytes.substr(position, length));
      break;
    case 3:
      bytes.insert(position, std::to_string(random()));
      break;
    default:
      bytes.resize(position);
  }
  return bytes;
}

TEST(EndpointSnapshotCodec, TenThousandMutatedSnapshotsAreRefusedAsAWhole) {
  std::mt19937 random(65);
  const std::string bytes = admin::encode_endpoint_snapshot(snapshot_of(4));

  for (int i = 0; i < 10'000; ++i) {
    const std::string changed = mutated(bytes, random);
    if (changed == bytes) continue;
    EXPECT_FALSE(admin::decode_endpoint_snapshot(changed)) << changed;
  }
}

// The snapshot that a process takes from the bytes of one message, if any.
std::optional<proxy::EndpointSnapshot> snapshot_of_message(const std::string& message) {
  const auto handover = admin::decode_handover(std::vector<std::uint8_t>(message.begin(), message.end()));
  const auto* part = handover ? std::get_if<proxy::EndpointSnapshotPart>(&*handover) : nullptr;
  if (part == nullptr) return std::nullopt;
  const auto bytes = admin::EndpointSnapshotReceiver().add(*part);
  return bytes ? admin::decode_endpoint_snapshot(*bytes) : std::nullopt;
}

TEST(EndpointSnapshotTransfer, TenThousandMutatedMessagesYieldTheSnapshotOrNothing) {
  std::mt19937 random(66);
  const std::string bytes = admin::encode_endpoint_snapshot(snapshot_of(4));
  const auto encoded = admin::encode_handover(admin::split_endpoint_snapshot(bytes).at(0));
  const std::string message(encoded.begin(), encoded.end());
  ASSERT_TRUE(snapshot_of_message(message));

  for (int i = 0; i < 10'000; ++i) {
    const auto snapshot = snapshot_of_message(mutated(message, random));
    if (!snapshot) continue;
    EXPECT_EQ(admin::encode_endpoint_snapshot(*snapshot), bytes);
  }
}

// Returns what the receiver has put together after the last of these parts.
std::optional<std::string> receive(const std::vector<proxy::EndpointSnapshotPart>& parts) {
  admin::EndpointSnapshotReceiver receiver;
  std::optional<std::string> received;
  for (const auto& part : parts) received = receiver.add(part);
  return received;
}

TEST(EndpointSnapshotTransfer, ASnapshotIsPutTogetherFromPartsInOrderOnly) {
  const std::string bytes = admin::encode_endpoint_snapshot(snapshot_of(3200));
  auto parts = admin::split_endpoint_snapshot(bytes);
  ASSERT_GE(parts.size(), 4u);

  EXPECT_EQ(receive(parts), bytes);

  auto missing = parts;
  missing.erase(missing.begin() + 1);
  EXPECT_FALSE(receive(missing));
  auto begun_twice = parts;
  begun_twice.insert(begun_twice.begin(), parts.begin(), parts.begin() + 2);
  EXPECT_EQ(receive(begun_twice), bytes);
  auto huge = parts;
  for (auto& part : huge) part.count = std::size_t{1} << 60;
  EXPECT_FALSE(receive(huge));
  EXPECT_FALSE(receive({{0, 0, "x"}}));
}

}  // namespace
}  // namespace cherryrail::testing
