#include "jujube/daemon/async_log.h"

#include <fcntl.h>
#include <signal.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <string>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "jujube/runtime/file_descriptor.h"

namespace jujube::daemon {
namespace {

struct Pipe {
  runtime::FileDescriptor Reader;
  runtime::FileDescriptor Writer;

  Pipe() {
    int ends[2];
    BOOST_REQUIRE(pipe2(ends, O_CLOEXEC) == 0);
    Reader = runtime::FileDescriptor(ends[0]);
    Writer = runtime::FileDescriptor(ends[1]);
    BOOST_REQUIRE(fcntl(Reader.get(), F_SETFL, O_NONBLOCK) == 0);
  }

  std::string readAll() const {
    std::string all;
    char buf[4096];
    for (ssize_t n = 0; (n = read(Reader.get(), buf, sizeof buf)) > 0;)
      all.append(buf, static_cast<std::size_t>(n));
    return all;
  }
};

LogOptions optionsOf(const Pipe &pipe) {
  LogOptions options;
  options.Fd = pipe.Writer.get();
  options.Host = "h1";
  options.Wall = Clock([] { return Instant::fromMillis(1'500); });
  options.BatchDelay = Duration();
  return options;
}

logging::Record decision(int n) {
  return {logging::Event::StartSent, logging::Level::Info,
          absl::StrCat(" attempt=", n)};
}

// Runs the log task on its own thread until end() or destruction.
struct RunningLog {
  std::unique_ptr<runtime::Task> Writer;

  explicit RunningLog(AsyncLog &log) {
    const runtime::ChildSpec spec = log.task();
    auto task = runtime::Task::start(spec.Name, Clock::monotonic(), spec.Body,
                                     [](const runtime::TaskExit &) {});
    BOOST_REQUIRE(isOk(task));
    Writer = valueOf(std::move(task));
  }
  void end() {
    Writer->requestStop();
    Writer->join();
  }
};

BOOST_AUTO_TEST_SUITE(AsyncLogTest)

BOOST_AUTO_TEST_CASE(LineHasTimeHostSequenceAndEvent) {
  const Pipe pipe;
  AsyncLog log(optionsOf(pipe));
  log.push(decision(1));
  log.push(decision(2));
  log.flush();
  BOOST_TEST(pipe.readAll() ==
             "ts=1970-01-01T00:00:01.500Z host=h1 seq=1 level=info "
             "event=start_sent attempt=1\n"
             "ts=1970-01-01T00:00:01.500Z host=h1 seq=2 level=info "
             "event=start_sent attempt=2\n");
}

BOOST_AUTO_TEST_CASE(TaskWritesAllLinesBeforeItStops) {
  const Pipe pipe;
  AsyncLog log(optionsOf(pipe));
  RunningLog running(log);
  for (int i = 1; i <= 100; ++i)
    log.push(decision(i));
  running.end();
  BOOST_TEST(absl::StrContains(pipe.readAll(), "attempt=100\n"));
  BOOST_TEST(log.taken() == 100);
}

BOOST_AUTO_TEST_CASE(BlockedReaderDoesNotDelayPushOrStop) {
  const Pipe pipe;
  LogOptions options = optionsOf(pipe);
  options.Limits = {200, std::size_t{1} << 20, 1'000'000};
  AsyncLog log(options);
  RunningLog running(log);
  const Clock clock = Clock::monotonic();
  const Instant began = clock.now();
  // Exceeds the capacity of the pipe and the queue.
  for (int i = 1; i <= 20'000; ++i)
    log.push(decision(i));
  const Duration pushing = clock.now() - began;
  BOOST_TEST(pushing.millis() < 2'000);
  running.end();
  // The task waits for the reader for at most FlushTimeout.
  BOOST_TEST((clock.now() - began - pushing).millis() < 2'000);
  const uint64_t dropped = log.dropped()[2];
  BOOST_TEST(dropped > 0U);
  BOOST_TEST(log.taken() + dropped <= 20'000U);
}

BOOST_AUTO_TEST_CASE(DroppedLinesAreReported) {
  const Pipe pipe;
  LogOptions options = optionsOf(pipe);
  options.Limits = {2, std::size_t{1} << 20, 1'000'000};
  AsyncLog log(options);
  for (int i = 1; i <= 5; ++i)
    log.push(decision(i));
  log.flush();
  const std::string text = pipe.readAll();
  BOOST_TEST(absl::StrContains(
      text,
      "level=warning event=lines_dropped routine=0 state=0 decision=3\n"));
}

BOOST_AUTO_TEST_CASE(ClosedReaderDoesNotEndTheProcess) {
  signal(SIGPIPE, SIG_IGN);
  Pipe pipe;
  pipe.Reader = runtime::FileDescriptor();
  AsyncLog log(optionsOf(pipe));
  RunningLog running(log);
  log.push(decision(1));
  running.end();
  log.push(decision(2));
  log.flush();
  BOOST_TEST(log.taken() == 2);
}

BOOST_AUTO_TEST_CASE(DetailSaysWhichLinesAreKept) {
  const Pipe pipe;
  LogOptions options = optionsOf(pipe);
  options.Detail = LogDetail::Decisions;
  AsyncLog log(options);
  log.push({logging::Event::WorkerChanged, logging::Level::Info, {}});
  log.push({logging::Event::RoleChanged, logging::Level::Info, {}});
  log.push(decision(1));
  log.flush();
  BOOST_TEST(log.taken() == 1);
}

BOOST_AUTO_TEST_CASE(LongLinesAreCut) {
  const Pipe pipe;
  AsyncLog log(optionsOf(pipe));
  log.push({logging::Event::Message, logging::Level::Info,
            " text=" + std::string(5'000, 'x')});
  log.flush();
  const std::string text = pipe.readAll();
  BOOST_TEST(text.size() < 2'100U);
  BOOST_TEST(absl::StrContains(text, " cut=true\n"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace jujube::daemon
