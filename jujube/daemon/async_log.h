// Asynchronous log output of a process. Threads queue lines without blocking,
// and a task writes them. If the reader of the log is too slow, lines are
// dropped and counted; the threads that log are not delayed.
#ifndef JUJUBE_DAEMON_ASYNC_LOG_H_
#define JUJUBE_DAEMON_ASYNC_LOG_H_

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

// Selects the lines that are written, by weight.
enum class LogDetail { None, Decisions, States, All };

inline constexpr NameTable<LogDetail, 4> LogDetailNames = {{
    {LogDetail::None, "none"},
    {LogDetail::Decisions, "decisions"},
    {LogDetail::States, "states"},
    {LogDetail::All, "all"},
}};
static_assert(isComplete(LogDetailNames));

struct LogOptions {
  // The descriptor to write to. It is not set to non-blocking mode, since other
  // processes may share it.
  int Fd = 1;
  LogDetail Detail = LogDetail::All;
  // Written as the host of each line: the host id or the program name.
  std::string Host;
  Clock Wall = Clock::wall();
  // Delay before queued lines are written, so that a write covers many lines.
  Duration BatchDelay = Duration::millis(100);
  // Maximum time to wait for the reader when the process ends.
  Duration FlushTimeout = Duration::millis(300);
  logging::QueueLimits Limits;
};

// The log of a process. It must outlive the task that task() describes and all
// threads that call push().
class AsyncLog {
public:
  explicit AsyncLog(LogOptions options);

  // Queues a line without blocking. Thread-safe.
  void push(const logging::Record &record);
  // Returns the task that writes the lines. Its supervisor must stop it last.
  runtime::ChildSpec task();
  // Writes the queued lines, for at most FlushTimeout. Precondition: the task
  // is not running.
  void flush();

  // Returns the number of lines dropped since the process started, by weight.
  logging::DropCounts dropped() const { return Queue.dropped(); }
  // Returns the number of lines taken from the queue for writing.
  uint64_t taken() const { return Taken.load(); }

private:
  class Writer;

  // Formats a line, including its newline.
  std::string render(const logging::Record &record);
  static logging::Record dropRecord(const logging::DropCounts &drops);
  // Moves lines from the queue to Pending if it is empty. Returns false if
  // there is nothing to write.
  bool fillPending();
  // Writes as many pending bytes as a writable pipe accepts without blocking.
  void writeChunk();

  const LogOptions Options;
  const Clock Monotonic = Clock::monotonic();
  logging::LineQueue Queue;
  runtime::SignalEvent LinesQueued;
  // True from the push() that wakes the task until the task starts to drain the
  // queue.
  std::atomic<bool> IsWakeupPending = false;
  std::atomic<uint64_t> Sequence = 0;
  std::atomic<uint64_t> Taken = 0;
  // Bytes taken from the queue and not written yet. Used only by the writer.
  std::string Pending;
};

} // namespace jujube::daemon

#endif // JUJUBE_DAEMON_ASYNC_LOG_H_
