// Parsing of the relay's configuration and the error messages for invalid ones.
#include "config/relay_config.hpp"

#include <gtest/gtest.h>

#include <cstdlib>
#include <string>
#include <vector>

#include "support/loopback_relay.hpp"

namespace cherryrail::testing {
namespace {

// The error message for a configuration; empty if it is valid.
std::string config_error(const std::string& text) {
  try {
    config::parse_relay_config(text);
  } catch (const config::ConfigError& error) {
    return error.what();
  }
  return "";
}

TEST(RelayConfig, ErrorNamesTheKeyOfAnInvalidValue) {
  const std::string valid = LoopbackRelay(1).config_text(500);
  const auto error_with = [&](const std::string& from, const std::string& to) {
    std::string text = valid;
    text.replace(text.find(from), from.size(), to);
    return config_error(text);
  };

  EXPECT_NE(error_with("\"sockets\":500", "\"sockets\":\"many\"").find("limits.sockets"), std::string::npos);
  EXPECT_NE(error_with("\"setup_goal\":300.0", "\"setup_goal\":\"soon\"").find("profiles.0.setup_goal"),
            std::string::npos);
  EXPECT_NE(error_with("\"listen\":\"127", "\"listen\":\"here").find("listen"), std::string::npos);
  EXPECT_NE(error_with("\"settings\"", "\"set\"").find("settings"), std::string::npos);
  EXPECT_NE(error_with("{\"name\"", "{,").find("JSON"), std::string::npos);
}

TEST(RelayConfig, RejectsAnInvalidRelayCount) {
  const LoopbackRelay relay(1, 500, "", false);

  for (const char* count : {"0", "-3", "1e9", "\"many\""}) {
    const std::string error = config_error(relay.config_text(500, std::string(",\"balancers\":") + count));
    EXPECT_NE(error.find("balancers"), std::string::npos) << count << ": " << error;
  }
}

TEST(RelayConfig, AcceptsTheMinimumAndMaximumRelayCount) {
  LoopbackRelay minimum(1, 500, R"(,"balancers":1)");
  LoopbackRelay maximum(1, 500, R"(,"balancers":65535)");

  minimum.establish_session("1");
  maximum.establish_session("1");
}

TEST(RelayConfig, RejectsAnInheritedDescriptorThatDoesNotListenAtTheConfiguredAddress) {
  LoopbackRelay relay(1);
  const auto error_with_inherited = [&](int fd) {
    setenv("EDGE_SOCKET_FD", std::to_string(fd).c_str(), 1);
    std::string error = config_error(relay.config_text(500));
    unsetenv("EDGE_SOCKET_FD");
    return error;
  };
  const TestSocket other_listener = TestSocket::listening();
  const TestSocket connection = TestSocket::connected_to(relay.port);

  EXPECT_NE(error_with_inherited(9999).find("EDGE_SOCKET_FD"), std::string::npos);
  EXPECT_NE(error_with_inherited(connection.fd()).find("not a listening"), std::string::npos);
  EXPECT_NE(error_with_inherited(other_listener.fd()).find("does not listen at"), std::string::npos);

  relay.port = other_listener.port();
  EXPECT_EQ(error_with_inherited(other_listener.fd()), "");
}

TEST(RelayConfig, ReadsAllTrafficClassesTenantsAndInvariants) {
  const auto relay_config = config::parse_relay_config(
      R"({"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","settings":{"discovery":"pushed","zones":["n","m","s"],
      "balancers":6,"invariants":{"stop_sending_within":100,"resend_span":4000,"budget_free":2,"extra_per_request":0.12},
      "tenants":[{"name":"one"},{"name":"two"}],"domain":{"tenant_quota_connections":[10,20]},"profiles":[
      {"name":"position","client_timeout":900,"setup_goal":250},
      {"name":"order","client_timeout":900,"setup_goal":250,"semantics":"deduplicated","key_scope":"cell","window":2500,"payoff":6},
      {"name":"voucher","client_timeout":1000,"setup_goal":300,"semantics":"at_most_once","payoff":4},
      {"name":"notice","client_timeout":1000,"setup_goal":300,"semantics":"deduplicated","key_scope":"zone","window":3000}]}})");

  const BalancerConfig& config = relay_config.settings.config;
  ASSERT_EQ(config.traffic_classes.size(), 4u);
  EXPECT_EQ(config.traffic_classes[1].deduplication_scope, DeduplicationScope::cell);
  EXPECT_EQ(config.traffic_classes[2].idempotency, Idempotency::non_idempotent);
  EXPECT_EQ(config.traffic_classes[3].deduplication_window, 3'000'000);
  EXPECT_EQ(config.tenant_shares, (std::vector<double>{10, 20}));
  EXPECT_EQ(config.retry_budget_window, 4'000'000);
  EXPECT_TRUE(relay_config.is_list_pushed);
  EXPECT_EQ(config.endpoint_retry_delay, 50'000);
  EXPECT_FALSE(config.may_cancel_attempts || config.may_send_retry_after || config.may_check_health);
}

TEST(RelayConfig, MissingSettingsGetDefaults) {
  const auto relay_config = config::parse_relay_config(
      R"({"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","settings":{"discovery":"on_request",
      "profiles":[{"name":"reading"}]}})");

  EXPECT_FALSE(relay_config.is_list_pushed);
  EXPECT_EQ(relay_config.settings.config.endpoint_retry_delay, 0);
  EXPECT_EQ(relay_config.settings.config.max_attempts, 1u);
}

}  // namespace
}  // namespace cherryrail::testing
