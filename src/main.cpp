// The relay's command line: `serve` runs the relay, `check` validates the configuration, `version` prints the
// version.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <optional>
#include <string>
#include <utility>

#include "admin/admin_services.hpp"
#include "config/config_error.hpp"
#include "config/descriptor_limit.hpp"
#include "net/startup_retry.hpp"

namespace {

using ConfigCommand = void (*)(const std::string& config_path);

// Retries, because the file may be incomplete while it is being written, or the system may briefly lack
// descriptors.
cherryrail::config::RelayConfig read_config_at_startup(const std::string& config_path) {
  using cherryrail::config::RelayConfig;
  auto config = cherryrail::net::retry_at_startup([&config_path]() -> std::optional<RelayConfig> {
    try {
      return cherryrail::config::read_relay_config(config_path);
    } catch (const cherryrail::config::IncompleteConfigError&) {
      return std::nullopt;
    }
  });
  if (config) return std::move(*config);
  return cherryrail::config::read_relay_config(config_path);
}

void serve(const std::string& config_path) {
  auto config = read_config_at_startup(config_path);
  config.descriptor_limit = cherryrail::config::raise_descriptor_limit(config.descriptor_limit);
  cherryrail::net::EventLoop event_loop;
  cherryrail::proxy::ProxyServer proxy(event_loop, config);
  cherryrail::admin::AdminServices admin_services(event_loop, proxy, config);
  event_loop.on_terminate([&admin_services] { admin_services.shut_down(); });
  event_loop.on_reload([&proxy, &config_path] { proxy.reload(config_path); });
  event_loop.run();
}

void check(const std::string& config_path) {
  const auto config = cherryrail::config::read_relay_config(config_path);
  std::printf("%s: %zu profiles, %zu known backends, %zu sockets: the configuration can be used\n",
              config.name.c_str(), config.settings.config.traffic_classes.size(),
              config.known_endpoints.entries.size(), config.descriptor_limit);
}

void print_version() { std::puts("cherryrail " CHERRYRAIL_VERSION); }

std::string config_path_from_environment() {
  const char* path = std::getenv("EDGE_CONFIG");
  return path ? path : "";
}

// Adds a subcommand that takes the path of the configuration file. `config_path` holds the default and must
// outlive the parsing.
void add_config_command(CLI::App& app, const char* name, const char* description, ConfigCommand run,
                        std::string& config_path) {
  CLI::App* command = app.add_subcommand(name, description);
  command->add_option("-c,--config", config_path,
                      "the configuration file (default: the value of EDGE_CONFIG)");
  command->callback([run, &config_path] { run(config_path); });
}

// Returns the process's exit code. Exceptions of the commands propagate.
int run_command_line(int argument_count, char** arguments) {
  std::string config_path = config_path_from_environment();
  CLI::App app("cherryrail, a relay for long-lived connections");
  app.require_subcommand(1);
  add_config_command(app, "serve", "run one relay until SIGTERM", &serve, config_path);
  add_config_command(app, "check", "validate the configuration and exit", &check, config_path);
  app.add_subcommand("version", "print the version")->callback(&print_version);
  try {
    app.parse(argument_count, arguments);
  } catch (const CLI::ParseError& error) {
    return app.exit(error);
  }
  return 0;
}

}  // namespace

int main(int argument_count, char** arguments) {
  cherryrail::net::block_handled_signals();
  try {
    return run_command_line(argument_count, arguments);
  } catch (const std::exception& failure) {
    std::fprintf(stderr, "cherryrail: %s\n", failure.what());
    return 1;
  }
}
