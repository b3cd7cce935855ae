// Tests of the simulator adapter with hand-encoded frames, both valid and malformed.
#include "simulator/adapter.hpp"

#include <gtest/gtest.h>

#include <cstring>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cherryrail::simulator {
namespace {

std::string decode_hex(std::string_view hex) {
  std::string decoded;
  std::string digits;
  for (const char digit : hex) {
    if (digit == ' ') continue;
    digits += digit;
    if (digits.size() == 2) decoded += static_cast<char>(std::stoi(std::exchange(digits, {}), nullptr, 16));
  }
  return decoded;
}

std::string little_endian(std::uint64_t value, int width) {
  std::string encoded;
  for (int i = 0; i < width; ++i) encoded += static_cast<char>(value >> (8 * i));
  return encoded;
}

std::string batch(std::uint32_t record_count, const std::string& body) {
  return decode_hex("00000000206ec040") + little_endian(16 + body.size(), 4) +
         little_endian(record_count, 4) + body;
}

constexpr const char* kSettings =
    "profiles.count=1\nprofiles.0.setup_goal=300.0\nprofiles.0.client_timeout=1200.0\n"
    "permissions.max_setups=3\nsome.new.key=whatever\n";

std::string start_record(const std::string& settings = kSettings) {
  return little_endian(1070, 2) + little_endian(3, 2) + little_endian(42, 8) +
         little_endian(settings.size(), 4) + settings;
}

std::string endpoint_list_record() {
  return decode_hex(
      "3804 0300 29000000 03 02000000 074a1203 00 00 0000 00 0000803f 0000000000000000"
      "f211902c 01 00 0000 00 0000c03f 0000000000000000");
}

std::string session_request_record() {
  return decode_hex(
      "0604 0300 c4913a5d 00 01 107cf3d901648e2b 640ad2557c3bf091 0000000000006e40 00000000 "
      "0000000000002840");
}

TEST(Adapter, RepliesToAnEmptyBatchWithAnEmptyReply) {
  Adapter adapter;

  EXPECT_EQ(adapter.process_batch(batch(0, "")), decode_hex("04000000"));
}

TEST(Adapter, StartsAnAttemptOnAListedBackendForASessionRequest) {
  Adapter adapter;
  adapter.process_batch(batch(2, start_record() + endpoint_list_record()));

  const std::string reply(adapter.process_batch(batch(1, session_request_record())));

  const std::size_t forward = reply.find(decode_hex("e803 0300 c4913a5d"));
  ASSERT_NE(forward, std::string::npos);
  const std::string backend = reply.substr(forward + 8, 4);
  EXPECT_TRUE(backend == decode_hex("074a1203") || backend == decode_hex("f211902c"));
  double time_limit_ms = 0;
  std::memcpy(&time_limit_ms, reply.data() + forward + 12, sizeof(time_limit_ms));
  EXPECT_DOUBLE_EQ(time_limit_ms, 236);  // the client's remaining time less the margin for the answer

  const std::string outcome =
      decode_hex("5604 0300 c4913a5d 00") + backend + decode_hex("0100 0000000000803240 01 00");
  EXPECT_EQ(adapter.process_batch(batch(1, outcome)), decode_hex("04000000"));
  EXPECT_EQ(adapter.process_batch(batch(1, outcome)),
            decode_hex("04000000"));  // an outcome for an erased session is ignored
}

TEST(Adapter, TreatsNullSettingsAsAbsent) {
  const config::SiteSettings settings = config::read_site_settings(
      config::parse_setting_lines("profiles.count=1\nprofiles.0.payoff=null\ntenants.count=2\n"
                                  "domain.tenant_quota_connections=7.0,null\nprofiles.0.setup_goal=300\n"
                                  "domain.message_aim=null\n"));

  EXPECT_EQ(settings.config.traffic_classes[0].message_latency_objective,
            100'000);  // defaults to a third of the attempt latency objective
  EXPECT_EQ(settings.config.traffic_classes[0].priority_weight, 1);
  EXPECT_EQ(settings.config.tenant_shares, (std::vector<double>{7, 0}));
}

TEST(Adapter, ReadsTheRetryBudgetFromTheSettings) {
  const config::SiteSettings settings = config::read_site_settings(config::parse_setting_lines(
      "profiles.count=1\ninvariants.budget_free=1\ninvariants.extra_per_request=0.15\n"
      "invariants.resend_span=5000.0\nobjective_mix.nines_part=0.2\nobjective_mix.top_nines=2\n"));

  EXPECT_EQ(settings.config.retry_budget_window, 5'000'000);
  EXPECT_EQ(settings.config.retry_budget_minimum, 1);
  EXPECT_EQ(settings.config.retry_budget_ratio, 0.15);
}

void expect_wire_error_containing(const std::string& text, const std::string& frame) {
  Adapter adapter;
  adapter.process_batch(batch(2, start_record() + endpoint_list_record()));
  try {
    adapter.process_batch(frame);
    FAIL() << "no WireError; expected one that contains " << text;
  } catch (const WireError& error) {
    EXPECT_NE(std::string(error.what()).find(text), std::string::npos) << error.what();
  }
}

TEST(Adapter, NamesTheMalformedFieldInTheError) {
  const std::string request = session_request_record();

  expect_wire_error_containing("work_hint", batch(1, request.substr(0, request.size() - 3)));
  expect_wire_error_containing("left over", batch(1, request + "xx"));
  expect_wire_error_containing("unknown event code 4711",
                               batch(1, little_endian(4711, 2) + little_endian(3, 2)));
  expect_wire_error_containing("profiles.0.payoff",
                               batch(1, start_record("profiles.count=1\nprofiles.0.payoff=much\n")));
  expect_wire_error_containing("discovery",
                               batch(1, start_record("profiles.count=1\ndiscovery=sometimes\n")));
  expect_wire_error_containing("invariants.resend_span",
                               batch(1, start_record("profiles.count=1\ninvariants.budget_free=1\n")));
  expect_wire_error_containing("objective_mix.top_nines",
                               batch(1, start_record("profiles.count=1\nobjective_mix.top_nines=0\n")));
  EXPECT_THROW(Adapter::frame_length(decode_hex("00000000206ec040 03000000 00000000")), WireError);
}

}  // namespace
}  // namespace cherryrail::simulator
