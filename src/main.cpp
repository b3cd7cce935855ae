// The relay's command line.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <cstdlib>
#include <exception>

#include "admin/admin_services.hpp"
#include "config/descriptor_limit.hpp"

namespace {

void serve(const std::string& path) {
  auto start = cherryrail::config::read_relay_config(path);
  start.descriptor_limit = cherryrail::config::raise_descriptor_limit(start.descriptor_limit);
  cherryrail::net::EventLoop event_loop;
  cherryrail::proxy::ProxyServer proxy(event_loop, start);
  cherryrail::admin::AdminServices admin_services(event_loop, proxy, start);
  event_loop.on_terminate([&admin_services] { admin_services.shut_down(); });
  event_loop.on_reload([&proxy, &path] { proxy.reload(path); });
  event_loop.run();
}

void check(const std::string& path) {
  const auto start = cherryrail::config::read_relay_config(path);
  std::printf("%s: %zu profiles, %zu known backends, %zu sockets: the configuration can be used\n",
              start.name.c_str(), start.settings.config.traffic_classes.size(),
              start.known_endpoints.entries.size(), start.descriptor_limit);
}

}  // namespace

int main(int count, char** words) {
  CLI::App app("cherryrail, a relay for long-lived connections");
  app.require_subcommand(1);
  const char* told = std::getenv("EDGE_CONFIG");
  std::string path = told ? told : "";
  for (const auto& [name, what, run] :
       {std::tuple{"serve", "run one relay until SIGTERM", &serve},
        std::tuple{"check", "read and check the configuration, then end", &check}}) {
    CLI::App* command = app.add_subcommand(name, what);
    command->add_option("-c,--config", path, "the configuration file (else EDGE_CONFIG names it)");
    command->callback([run = run, &path] { run(path); });
  }
  app.add_subcommand("version", "print the version")->callback([] {
    std::puts("cherryrail " CHERRYRAIL_VERSION);
  });
  try {
    app.parse(count, words);
  } catch (const CLI::ParseError& error) {
    return app.exit(error);
  } catch (const std::exception& failure) {
    std::fprintf(stderr, "cherryrail: %s\n", failure.what());
    return 1;
  }
  return 0;
}
