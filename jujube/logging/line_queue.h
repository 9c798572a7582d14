// A bounded queue of log lines for the log task. When it is full, lines of
// lower weight are dropped first; dropped lines are counted.
#ifndef JUJUBE_LOGGING_LINE_QUEUE_H_
#define JUJUBE_LOGGING_LINE_QUEUE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "jujube/base/clock.h"
#include "jujube/logging/event.h"

namespace jujube::logging {

struct QueueLimits {
  std::size_t MaxLines = 8192;
  std::size_t MaxBytes = std::size_t{1} << 20;
  // Maximum number of routine lines per second. Further ones are dropped.
  std::size_t RoutinePerSecond = 200;
};

// Number of dropped lines, by weight.
using DropCounts = std::array<uint64_t, WeightNames.size()>;

// Thread-safe. push() never waits for the reader.
class LineQueue {
public:
  explicit LineQueue(QueueLimits limits) : Limits(limits) {}

  // Queues a line. If the queue is full, drops the oldest lines of the lowest
  // weight, or the new line if there are not enough lines of lower weight.
  void push(Weight weight, std::string text, Instant now)
      ABSL_LOCKS_EXCLUDED(Mutex);

  struct Batch {
    // Oldest first.
    std::vector<std::string> Lines;
    // Lines dropped since the last call.
    DropCounts Dropped = {};
  };
  // Removes the oldest lines, up to `maxBytes` in total, but at least one line
  // if the queue is not empty.
  Batch take(std::size_t maxBytes) ABSL_LOCKS_EXCLUDED(Mutex);

  // Returns true if no lines are queued and no dropped lines are unreported.
  bool isEmpty() const ABSL_LOCKS_EXCLUDED(Mutex);
  // Returns the number of lines dropped since the process started.
  DropCounts dropped() const ABSL_LOCKS_EXCLUDED(Mutex);

private:
  struct Item {
    uint64_t Sequence = 0;
    std::string Text;
  };

  bool isOverRate(Weight weight, Instant now)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  // Drops lines of lower weight until `bytes` fit. Returns false if they do not
  // fit.
  bool evictFor(Weight weight, std::size_t bytes)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  void removeFront(std::deque<Item> &from) ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  void drop(Weight weight) ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  std::deque<Item> *oldestQueue() ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);

  const QueueLimits Limits;
  mutable absl::Mutex Mutex;
  // One queue per weight.
  std::array<std::deque<Item>, WeightNames.size()>
      Queues ABSL_GUARDED_BY(Mutex);
  std::size_t Lines ABSL_GUARDED_BY(Mutex) = 0;
  std::size_t Bytes ABSL_GUARDED_BY(Mutex) = 0;
  uint64_t LastSequence ABSL_GUARDED_BY(Mutex) = 0;
  Instant RateWindowStart ABSL_GUARDED_BY(Mutex);
  std::size_t RoutineInWindow ABSL_GUARDED_BY(Mutex) = 0;
  DropCounts NewDrops ABSL_GUARDED_BY(Mutex) = {};
  DropCounts AllDrops ABSL_GUARDED_BY(Mutex) = {};
};

} // namespace jujube::logging

#endif // JUJUBE_LOGGING_LINE_QUEUE_H_
