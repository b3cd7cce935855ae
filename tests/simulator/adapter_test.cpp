// Frames against the worked bytes of the wire, and what is malformed.
#include "simulator/adapter.hpp"

#include <gtest/gtest.h>

#include <cstring>

namespace cherryrail::simulator {
namespace {

std::string bytes(std::string_view hex) {
  std::string out, digits;
  for (const char c : hex) {
    if (c == ' ') continue;
    digits += c;
    if (digits.size() == 2) out += static_cast<char>(std::stoi(std::exchange(digits, {}), nullptr, 16));
  }
  return out;
}

std::string little(std::uint64_t value, int width) {
  std::string out;
  for (int i = 0; i < width; ++i) out += static_cast<char>(value >> (8 * i));
  return out;
}

std::string batch(std::uint32_t records, const std::string& body) {
  return bytes("00000000206ec040") + little(16 + body.size(), 4) + little(records, 4) + body;
}

const char* const kFacts =
    "profiles.count=1\nprofiles.0.setup_goal=300.0\nprofiles.0.client_timeout=1200.0\npermissions.max_setups="
    "3\n"
    "some.new.key=whatever\n";

std::string spawn(const std::string& settings = kFacts) {
  return little(1070, 2) + little(3, 2) + little(42, 8) + little(settings.size(), 4) + settings;
}

const std::string kRoster = bytes(
    "3804 0300 29000000 03 02000000 074a1203 00 00 0000 00 0000803f 0000000000000000"
    "f211902c 01 00 0000 00 0000c03f 0000000000000000");
const std::string kQuery = bytes(
    "0604 0300 c4913a5d 00 01 107cf3d901648e2b 640ad2557c3bf091 0000000000006e40 00000000 0000000000002840");

TEST(Adapter, EmptyBatchGetsAnEmptyReply) {
  Adapter link;
  EXPECT_EQ(link.play(batch(0, "")), bytes("04000000"));
}

TEST(Adapter, QueryLeadsToAForwardToAListedBackend) {
  Adapter link;
  link.play(batch(2, spawn() + kRoster));
  const std::string reply(link.play(batch(1, kQuery)));
  const std::size_t at = reply.find(bytes("e803 0300 c4913a5d"));
  ASSERT_NE(at, std::string::npos);
  const std::string backend = reply.substr(at + 8, 4);
  EXPECT_TRUE(backend == bytes("074a1203") || backend == bytes("f211902c"));
  double limit = 0;
  std::memcpy(&limit, reply.data() + at + 12, sizeof(limit));
  EXPECT_DOUBLE_EQ(limit, 236);  // what the client waits, less the margin for an answer
  const std::string outcome = bytes("5604 0300 c4913a5d 00") + backend + bytes("0100 0000000000803240 01 00");
  EXPECT_EQ(link.play(batch(1, outcome)), bytes("04000000"));
  EXPECT_EQ(link.play(batch(1, outcome)), bytes("04000000"));  // an id no longer held is passed over
}

TEST(Adapter, SettingsWithoutAValueAreAbsent) {
  const config::SiteSettings settings = config::read_site_settings(
      config::parse_setting_lines("profiles.count=1\nprofiles.0.payoff=null\ntenants.count=2\n"
                                  "domain.tenant_quota_connections=7.0,null\nprofiles.0.setup_goal=300\n"
                                  "domain.message_aim=null\n"));
  EXPECT_EQ(settings.config.traffic_classes[0].message_latency_objective,
            100'000);  // a third of the setup goal, where none is told
  EXPECT_EQ(settings.config.traffic_classes[0].priority_weight, 1);
  EXPECT_EQ(settings.config.tenant_shares, (std::vector<double>{7, 0}));
}

TEST(Adapter, BudgetOfSetupsIsReadFromTheSettings) {
  const config::SiteSettings settings = config::read_site_settings(config::parse_setting_lines(
      "profiles.count=1\ninvariants.budget_free=1\ninvariants.extra_per_request=0.15\n"
      "invariants.resend_span=5000.0\nobjective_mix.nines_part=0.2\nobjective_mix.top_nines=2\n"));
  EXPECT_EQ(settings.config.retry_budget_window, 5'000'000);
  EXPECT_EQ(settings.config.retry_budget_minimum, 1);
  EXPECT_EQ(settings.config.retry_budget_ratio, 0.15);
}

void expect_refused(const std::string& frame, const std::string& word) {
  Adapter link;
  link.play(batch(2, spawn() + kRoster));
  try {
    link.play(frame);
    FAIL() << "accepted, though " << word;
  } catch (const WireError& error) {
    EXPECT_NE(std::string(error.what()).find(word), std::string::npos) << error.what();
  }
}

TEST(Adapter, BadInputIsNamedPlainly) {
  expect_refused(batch(1, kQuery.substr(0, kQuery.size() - 3)), "work_hint");
  expect_refused(batch(1, kQuery + "xx"), "left over");
  expect_refused(batch(1, little(4711, 2) + little(3, 2)), "unknown event code 4711");
  expect_refused(batch(1, spawn("profiles.count=1\nprofiles.0.payoff=much\n")), "profiles.0.payoff");
  expect_refused(batch(1, spawn("profiles.count=1\ndiscovery=sometimes\n")), "discovery");
  expect_refused(batch(1, spawn("profiles.count=1\ninvariants.budget_free=1\n")), "invariants.resend_span");
  expect_refused(batch(1, spawn("profiles.count=1\nobjective_mix.top_nines=0\n")), "objective_mix.top_nines");
  EXPECT_THROW(Adapter::frame_length(bytes("00000000206ec040 03000000 00000000")), WireError);
}

}  // namespace
}  // namespace cherryrail::simulator
