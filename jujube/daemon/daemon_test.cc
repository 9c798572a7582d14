#include "jujube/daemon/daemon.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <optional>
#include <string>

#include "absl/time/clock.h"
#include "absl/time/time.h"
#include "glog/logging.h"
#include "jujube/runtime/file_descriptor.h"

namespace jujube::daemon {
namespace {

constexpr Duration ExitTimeout = Duration::seconds(10);

// A full pipe that nobody reads.
struct FullPipe {
  runtime::FileDescriptor Reader;
  runtime::FileDescriptor Writer;

  FullPipe() {
    int ends[2];
    BOOST_REQUIRE(pipe2(ends, O_CLOEXEC | O_NONBLOCK) == 0);
    Reader = runtime::FileDescriptor(ends[0]);
    Writer = runtime::FileDescriptor(ends[1]);
    const std::array<char, 4096> page{};
    while (write(Writer.get(), page.data(), page.size()) > 0) {
    }
    BOOST_REQUIRE(fcntl(Writer.get(), F_SETFL, 0) == 0);
  }
};

// Runs a daemon that calls `crash`, in a child process whose stdout and stderr
// are full. Returns the signal that ended the process, or nullopt if it exited
// or had to be killed after ExitTimeout.
std::optional<int> runCrashingDaemon(const std::function<void()> &crash) {
  const FullPipe full;
  const pid_t child = fork();
  BOOST_REQUIRE(child >= 0);
  if (child == 0) {
    dup2(full.Writer.get(), STDOUT_FILENO);
    dup2(full.Writer.get(), STDERR_FILENO);
    std::string name = "crashing";
    char *argv[] = {name.data(), nullptr};
    _exit(runDaemon(
        "crashing", {},
        [&crash](const Settings &) -> Result<runtime::Supervisor> {
          crash();
          return Error{ErrorKind::Internal, "the daemon did not crash", "none"};
        },
        1, argv));
  }
  const Clock clock = Clock::monotonic();
  const Instant end = clock.now() + ExitTimeout;
  int status = 0;
  while (waitpid(child, &status, WNOHANG) == 0) {
    if (clock.now() >= end) {
      kill(child, SIGKILL);
      waitpid(child, &status, 0);
      return std::nullopt;
    }
    absl::SleepFor(absl::Milliseconds(20));
  }
  return WIFSIGNALED(status) ? std::optional(WTERMSIG(status)) : std::nullopt;
}

BOOST_AUTO_TEST_SUITE(DaemonTest)

BOOST_AUTO_TEST_CASE(CrashEndsTheProcessWithBlockedStderr) {
  const auto ended = runCrashingDaemon([] { raise(SIGSEGV); });
  BOOST_REQUIRE(ended.has_value());
  BOOST_TEST(*ended == SIGSEGV);
}

BOOST_AUTO_TEST_CASE(FailedAssertionEndsTheProcessWithBlockedStderr) {
  const auto ended = runCrashingDaemon([] { CHECK(false) << "for the test"; });
  BOOST_REQUIRE(ended.has_value());
  BOOST_TEST((*ended == SIGALRM || *ended == SIGABRT));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::daemon
