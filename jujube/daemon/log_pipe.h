// The log of a process: lines of all threads are queued without waiting, and a
// task of its own writes them. A reader that stops reading costs lines, which
// are counted, and stalls nothing.
#ifndef JUJUBE_DAEMON_LOG_PIPE_H_
#define JUJUBE_DAEMON_LOG_PIPE_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

#include "jujube/base/clock.h"
#include "jujube/logging/line.h"
#include "jujube/logging/line_queue.h"
#include "jujube/runtime/signal_event.h"
#include "jujube/runtime/supervisor.h"

namespace jujube::daemon {

// Which lines are written.
enum class LogDetail { None, Decisions, States, All };

inline constexpr NameTable<LogDetail, 4> LogDetailNames = {{
    {LogDetail::None, "none"},
    {LogDetail::Decisions, "decisions"},
    {LogDetail::States, "states"},
    {LogDetail::All, "all"},
}};
static_assert(isComplete(LogDetailNames));

struct LogOptions {
  // Where lines go; never set to non-blocking, since others may share it.
  int Fd = 1;
  LogDetail Detail = LogDetail::All;
  // Names the process in each line.
  std::string Host;
  Clock Wall = Clock::wall();
  // How long lines wait for others, so that one write takes many.
  Duration Linger = Duration::millis(100);
  // How long the process waits for the reader when it ends.
  Duration FlushLimit = Duration::millis(300);
  logging::QueueLimits Limits;
};

class LogPipe {
public:
  explicit LogPipe(LogOptions options);

  // Queues a line; may be called on any thread.
  void push(const logging::Record &record);
  // The task that writes; its supervisor stops it last.
  runtime::ChildSpec task();
  // Writes what is queued, for FlushLimit at most. Precondition: the task does
  // not run.
  void flush();

  // Lines that were not written since the process began.
  logging::DropCounts dropped() const { return Queue.dropped(); }
  // Lines that were taken from the queue to be written.
  uint64_t taken() const { return Taken.load(); }

private:
  class Writer;

  // The line as it is written, with its end.
  std::string render(const logging::Record &record);
  static logging::Record dropRecord(const logging::DropCounts &drops);
  // Takes lines from the queue; false if there are none.
  bool fill();
  // Writes what the descriptor surely takes.
  void writeChunk();

  const LogOptions Options;
  const Clock Steady = Clock::monotonic();
  logging::LineQueue Queue;
  runtime::SignalEvent Arrived;
  // True while the task knows that lines are queued.
  std::atomic<bool> IsAwake = false;
  std::atomic<uint64_t> Sequence = 0;
  std::atomic<uint64_t> Taken = 0;
  // Taken from the queue and not written yet; the writer's only.
  std::string Pending;
};

} // namespace jujube::daemon

#endif // JUJUBE_DAEMON_LOG_PIPE_H_
