// The lines of a process that wait for its log task. Bounded: what does not fit
// is counted, and lines that matter more go before others.
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
  // Routine lines beyond this many in a second are counted only.
  std::size_t RoutinePerSecond = 200;
};

// Lines that were dropped, by weight.
using DropCounts = std::array<uint64_t, WeightNames.size()>;

// Any thread may push; pushing never waits for the reader.
class LineQueue {
public:
  explicit LineQueue(QueueLimits limits) : Limits(limits) {}

  // Queues a line. A full queue gives up the oldest of the least weight, or the
  // new line if none weighs less.
  void push(Weight weight, std::string text, Instant now)
      ABSL_LOCKS_EXCLUDED(Mutex);

  struct Batch {
    // Oldest first.
    std::vector<std::string> Lines;
    // Since the last call.
    DropCounts Dropped = {};
  };
  // Removes lines of `maxBytes` in all, or one line.
  Batch take(std::size_t maxBytes) ABSL_LOCKS_EXCLUDED(Mutex);

  bool isEmpty() const ABSL_LOCKS_EXCLUDED(Mutex);
  // Lines that were dropped since the process began.
  DropCounts dropped() const ABSL_LOCKS_EXCLUDED(Mutex);

private:
  struct Item {
    uint64_t Number = 0;
    std::string Text;
  };

  bool isOverRate(Weight weight, Instant now)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  // True if the line fits, or room was made for it.
  bool makeRoom(Weight weight, std::size_t bytes)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  void removeFront(std::deque<Item> &from) ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  void drop(Weight weight) ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);
  std::deque<Item> *oldest() ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex);

  const QueueLimits Limits;
  mutable absl::Mutex Mutex;
  // One for each weight.
  std::array<std::deque<Item>, WeightNames.size()>
      Queues ABSL_GUARDED_BY(Mutex);
  std::size_t Lines ABSL_GUARDED_BY(Mutex) = 0;
  std::size_t Bytes ABSL_GUARDED_BY(Mutex) = 0;
  uint64_t LastNumber ABSL_GUARDED_BY(Mutex) = 0;
  Instant SecondBegan ABSL_GUARDED_BY(Mutex);
  std::size_t RoutineInSecond ABSL_GUARDED_BY(Mutex) = 0;
  DropCounts NewDrops ABSL_GUARDED_BY(Mutex) = {};
  DropCounts AllDrops ABSL_GUARDED_BY(Mutex) = {};
};

} // namespace jujube::logging

#endif // JUJUBE_LOGGING_LINE_QUEUE_H_
