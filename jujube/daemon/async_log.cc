#include "jujube/daemon/async_log.h"

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

// Maximum length of a line in bytes. Longer lines are truncated.
constexpr std::size_t MaxLineBytes = 2000;
// Maximum number of bytes taken from the queue at a time.
constexpr std::size_t BatchBytes = std::size_t{16} << 10;
// A pipe that poll(2) reports as writable accepts PIPE_BUF bytes without
// blocking.
constexpr std::size_t ChunkBytes = PIPE_BUF;

bool isWritable(int fd, int timeoutMs) {
  pollfd watched{fd, POLLOUT, 0};
  // The following write reports errors.
  return poll(&watched, 1, timeoutMs) > 0;
}

bool isIncluded(LogDetail detail, logging::Weight weight) {
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

std::string formatTime(Instant wall) {
  return absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ",
                          absl::FromUnixMillis(wall.millis()),
                          absl::UTCTimeZone());
}

} // namespace

// Writes the queued lines on the thread of the log task.
class AsyncLog::Writer {
public:
  Writer(AsyncLog &pipe, runtime::TaskContext &context)
      : Pipe(pipe), Loop(context.loop()) {
    Loop.watch(Pipe.LinesQueued.fd(), POLLIN,
               [this](short) { scheduleDrain(); });
    context.onStop([this] {
      Loop.callAt(Loop.now() + Pipe.Options.FlushTimeout,
                  [this] { Loop.stop(); });
      IsStopping = true;
      drain();
    });
  }

private:
  void scheduleDrain() {
    Pipe.LinesQueued.clear();
    const Duration delay = IsStopping ? Duration() : Pipe.Options.BatchDelay;
    Loop.callAt(Loop.now() + delay, [this] {
      Pipe.IsWakeupPending.store(false);
      drain();
    });
  }

  // Writes until the queue is empty or the descriptor is not writable.
  void drain() {
    if (IsBlocked)
      return;
    while (Pipe.fillPending()) {
      if (!isWritable(Pipe.Options.Fd, 0)) {
        waitUntilWritable();
        return;
      }
      Pipe.writeChunk();
    }
    if (IsStopping)
      Loop.stop();
  }

  void waitUntilWritable() {
    IsBlocked = true;
    Loop.watch(Pipe.Options.Fd, POLLOUT, [this](short) {
      Loop.unwatch(Pipe.Options.Fd);
      IsBlocked = false;
      drain();
    });
  }

  AsyncLog &Pipe;
  runtime::PollLoop &Loop;
  bool IsBlocked = false;
  bool IsStopping = false;
};

AsyncLog::AsyncLog(LogOptions options)
    : Options(std::move(options)), Queue(Options.Limits) {}

std::string AsyncLog::render(const logging::Record &record) {
  std::string line = absl::StrCat(
      "ts=", formatTime(Options.Wall.now()), " host=", Options.Host,
      " seq=", ++Sequence,
      " level=", nameIn(logging::LevelNames, record.Severity),
      " event=", nameIn(logging::EventNames, record.What), record.Pairs);
  if (line.size() > MaxLineBytes) {
    line.resize(MaxLineBytes);
    line += " cut=true";
  }
  return line + "\n";
}

void AsyncLog::push(const logging::Record &record) {
  const logging::Weight weight = logging::weightOf(record.What);
  if (!isIncluded(Options.Detail, weight))
    return;
  Queue.push(weight, render(record), Monotonic.now());
  if (!IsWakeupPending.exchange(true))
    LinesQueued.raise();
}

bool AsyncLog::fillPending() {
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

logging::Record AsyncLog::dropRecord(const logging::DropCounts &drops) {
  logging::Record record{
      logging::Event::LinesDropped, logging::Level::Warning, {}};
  for (const auto &row : logging::WeightNames)
    absl::StrAppend(&record.Pairs, " ", row.Name, "=",
                    drops[static_cast<std::size_t>(row.Value)]);
  return record;
}

void AsyncLog::writeChunk() {
  const ssize_t n =
      ::write(Options.Fd, Pending.data(), std::min(Pending.size(), ChunkBytes));
  if (n >= 0)
    Pending.erase(0, static_cast<std::size_t>(n));
  else if (errno != EINTR && errno != EAGAIN)
    // The descriptor is not usable any more, and the error cannot be reported
    // elsewhere.
    Pending.clear();
}

runtime::ChildSpec AsyncLog::task() {
  return {"log", [this](runtime::TaskContext &context) -> Status {
            Writer writer(*this, context);
            return context.loop().run();
          }};
}

void AsyncLog::flush() {
  const Instant end = Monotonic.now() + Options.FlushTimeout;
  while (fillPending()) {
    const Duration left = end - Monotonic.now();
    if (left <= Duration() ||
        !isWritable(Options.Fd, static_cast<int>(left.millis())))
      return;
    writeChunk();
  }
}

} // namespace jujube::daemon
