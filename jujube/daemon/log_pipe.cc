#include "jujube/daemon/log_pipe.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <climits>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/time/time.h"

namespace jujube::daemon {
namespace {

// Longest line; the rest is cut off.
constexpr std::size_t MaxLine = 2000;
// Taken from the queue at a time.
constexpr std::size_t BatchBytes = std::size_t{16} << 10;
// A pipe that is ready takes this much without blocking.
constexpr std::size_t ChunkBytes = PIPE_BUF;

bool isReady(int fd, int timeoutMs) {
  pollfd watched{fd, POLLOUT, 0};
  // An error is told by the write.
  return poll(&watched, 1, timeoutMs) > 0;
}

bool isKept(LogDetail detail, logging::Weight weight) {
  switch (detail) {
  case LogDetail::None:
    return false;
  case LogDetail::Decisions:
    return weight == logging::Weight::Decision;
  case LogDetail::States:
    return weight != logging::Weight::Routine;
  case LogDetail::All:
    return true;
  }
  return true;
}

std::string timeText(Instant wall) {
  return absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ",
                          absl::FromUnixMillis(wall.millis()),
                          absl::UTCTimeZone());
}

} // namespace

// Writes from the pipe's queue; lives on the thread of the task.
class LogPipe::Writer {
public:
  Writer(LogPipe &pipe, runtime::TaskContext &context)
      : Pipe(pipe), Loop(context.loop()) {
    Loop.watch(Pipe.Arrived.fd(), POLLIN, [this](short) { wake(); });
    context.onStop([this] {
      Loop.callAt(Loop.now() + Pipe.Options.FlushLimit,
                  [this] { Loop.stop(); });
      IsEnding = true;
      drain();
    });
  }

private:
  void wake() {
    Pipe.Arrived.clear();
    const Duration linger = IsEnding ? Duration() : Pipe.Options.Linger;
    Loop.callAt(Loop.now() + linger, [this] {
      Pipe.IsAwake.store(false);
      drain();
    });
  }

  // Writes until nothing is left or the reader is behind.
  void drain() {
    if (IsWaiting)
      return;
    while (Pipe.fill()) {
      if (!isReady(Pipe.Options.Fd, 0)) {
        awaitReader();
        return;
      }
      Pipe.writeChunk();
    }
    if (IsEnding)
      Loop.stop();
  }

  void awaitReader() {
    IsWaiting = true;
    Loop.watch(Pipe.Options.Fd, POLLOUT, [this](short) {
      Loop.unwatch(Pipe.Options.Fd);
      IsWaiting = false;
      drain();
    });
  }

  LogPipe &Pipe;
  runtime::PollLoop &Loop;
  bool IsWaiting = false;
  bool IsEnding = false;
};

LogPipe::LogPipe(LogOptions options)
    : Options(std::move(options)), Queue(Options.Limits) {}

std::string LogPipe::render(const logging::Record &record) {
  std::string line = absl::StrCat(
      "ts=", timeText(Options.Wall.now()), " host=", Options.Host,
      " seq=", ++Sequence,
      " level=", nameIn(logging::LevelNames, record.Severity),
      " event=", nameIn(logging::EventNames, record.What), record.Pairs);
  if (line.size() > MaxLine) {
    line.resize(MaxLine);
    line += " cut=true";
  }
  return line + "\n";
}

void LogPipe::push(const logging::Record &record) {
  const logging::Weight weight = logging::weightOf(record.What);
  if (!isKept(Options.Detail, weight))
    return;
  Queue.push(weight, render(record), Steady.now());
  if (!IsAwake.exchange(true))
    Arrived.raise();
}

bool LogPipe::fill() {
  if (!Pending.empty())
    return true;
  logging::LineQueue::Batch batch = Queue.take(BatchBytes);
  for (const std::string &line : batch.Lines)
    Pending += line;
  Taken += batch.Lines.size();
  if (std::ranges::any_of(batch.Dropped, [](uint64_t n) { return n > 0; }))
    Pending += render(dropRecord(batch.Dropped));
  return !Pending.empty();
}

logging::Record LogPipe::dropRecord(const logging::DropCounts &drops) {
  logging::Record record{
      logging::Event::LinesDropped, logging::Level::Warning, {}};
  for (const auto &row : logging::WeightNames)
    absl::StrAppend(&record.Pairs, " ", row.Name, "=",
                    drops[static_cast<std::size_t>(row.Value)]);
  return record;
}

void LogPipe::writeChunk() {
  const ssize_t n =
      ::write(Options.Fd, Pending.data(), std::min(Pending.size(), ChunkBytes));
  if (n >= 0)
    Pending.erase(0, static_cast<std::size_t>(n));
  else if (errno != EINTR && errno != EAGAIN)
    // Nobody reads any more, and there is no other place to say so.
    Pending.clear();
}

runtime::ChildSpec LogPipe::task() {
  return {"log", [this](runtime::TaskContext &context) -> Status {
            Writer writer(*this, context);
            return context.loop().run();
          }};
}

void LogPipe::flush() {
  const Instant end = Steady.now() + Options.FlushLimit;
  while (fill()) {
    const Duration left = end - Steady.now();
    if (left <= Duration() ||
        !isReady(Options.Fd, static_cast<int>(left.millis())))
      return;
    writeChunk();
  }
}

} // namespace jujube::daemon
