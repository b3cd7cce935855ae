// Signals that the program receives during startup, before its event loop runs.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <signal.h>  // NOLINT(modernize-deprecated-headers): kill is POSIX's
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <string>

#include "support/loopback_relay.hpp"
#include "support/temporary_folder.hpp"

namespace cherryrail::testing {
namespace {

// Runs the program with a FIFO as its configuration file. Opening the FIFO for writing blocks until the
// program reads from it.
class Program {
 public:
  Program() : config_path_(folder_.file("config")) {
    EXPECT_EQ(mkfifo(config_path_.c_str(), 0600), 0);
    process_ = fork();
    if (process_ != 0) return;
    setenv("EDGE_CONFIG", config_path_.c_str(), 1);
    execl(CHERRYRAIL_PROGRAM, "cherryrail", "serve", nullptr);
    _exit(127);
  }
  Program(const Program&) = delete;
  Program& operator=(const Program&) = delete;
  ~Program() {
    if (process_ <= 0) return;
    kill(process_, SIGKILL);
    waitpid(process_, nullptr, 0);
  }

  // Blocks until the program has started to read its configuration.
  net::FileDescriptor open_config() const {
    return net::FileDescriptor(open(config_path_.c_str(), O_WRONLY | O_CLOEXEC));
  }
  void signal(int number) const { kill(process_, number); }
  // Returns the status of waitpid.
  int wait_for_exit() {
    int status = -1;
    waitpid(process_, &status, 0);
    process_ = 0;
    return status;
  }

 private:
  TemporaryFolder folder_;
  std::string config_path_;
  pid_t process_ = 0;
};

void write_config(net::FileDescriptor file, const LoopbackRelay& environment) {
  const std::string text = environment.config_text(100);
  EXPECT_EQ(write(file.get(), text.data(), text.size()), static_cast<ssize_t>(text.size()));
}

// Waits until the program listens, which it does only after reading the whole configuration.
bool wait_until_listening(const LoopbackRelay& environment) {
  for (int attempt = 0; attempt < 2000; ++attempt) {
    TestSocket connection = TestSocket::connected_to(environment.port);
    if (!connection.is_ended_by_peer()) return true;
    poll(nullptr, 0, 2);
  }
  return false;
}

TEST(Main, HandlesSignalsReceivedDuringStartup) {
  const LoopbackRelay environment(1, 500, "", false);
  Program program;

  net::FileDescriptor config = program.open_config();
  program.signal(SIGHUP);
  write_config(std::move(config), environment);
  ASSERT_TRUE(wait_until_listening(environment));
  write_config(program.open_config(), environment);  // read by the reload that SIGHUP requests
  program.signal(SIGTERM);

  const int status = program.wait_for_exit();
  EXPECT_TRUE(WIFEXITED(status)) << "signal " << WTERMSIG(status);
  EXPECT_EQ(WEXITSTATUS(status), 0);
}

TEST(Main, ExitsCleanlyWhenTerminatedDuringStartup) {
  const LoopbackRelay environment(1, 500, "", false);
  Program program;

  net::FileDescriptor config = program.open_config();
  program.signal(SIGTERM);
  write_config(std::move(config), environment);

  const int status = program.wait_for_exit();
  EXPECT_TRUE(WIFEXITED(status)) << "signal " << WTERMSIG(status);
  EXPECT_EQ(WEXITSTATUS(status), 0);
}

}  // namespace
}  // namespace cherryrail::testing
