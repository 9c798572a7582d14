#include "jujube/logging/line_queue.h"

#include <algorithm>
#include <utility>

namespace jujube::logging {

void LineQueue::push(Weight weight, std::string text, Instant now) {
  absl::MutexLock lock(&Mutex);
  if (isOverRate(weight, now) || !evictFor(weight, text.size())) {
    drop(weight);
    return;
  }
  ++Lines;
  Bytes += text.size();
  Queues[static_cast<std::size_t>(weight)].push_back(
      {++LastSequence, std::move(text)});
}

bool LineQueue::isOverRate(Weight weight, Instant now) {
  if (weight != Weight::Routine)
    return false;
  if (now - RateWindowStart >= Duration::seconds(1)) {
    RateWindowStart = now;
    RoutineInWindow = 0;
  }
  return ++RoutineInWindow > Limits.RoutinePerSecond;
}

bool LineQueue::evictFor(Weight weight, std::size_t bytes) {
  const auto isFull = [&]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex) {
    return Lines >= Limits.MaxLines || Bytes + bytes > Limits.MaxBytes;
  };
  for (std::size_t lower = 0; lower < static_cast<std::size_t>(weight); ++lower)
    while (isFull() && !Queues[lower].empty()) {
      removeFront(Queues[lower]);
      drop(static_cast<Weight>(lower));
    }
  return !isFull();
}

void LineQueue::removeFront(std::deque<Item> &from) {
  --Lines;
  Bytes -= from.front().Text.size();
  from.pop_front();
}

void LineQueue::drop(Weight weight) {
  ++NewDrops[static_cast<std::size_t>(weight)];
  ++AllDrops[static_cast<std::size_t>(weight)];
}

std::deque<LineQueue::Item> *LineQueue::oldestQueue() {
  std::deque<Item> *first = nullptr;
  for (std::deque<Item> &queue : Queues)
    if (!queue.empty() &&
        (first == nullptr || queue.front().Sequence < first->front().Sequence))
      first = &queue;
  return first;
}

LineQueue::Batch LineQueue::take(std::size_t maxBytes) {
  absl::MutexLock lock(&Mutex);
  Batch batch;
  std::size_t taken = 0;
  while (std::deque<Item> *from = oldestQueue()) {
    const std::size_t n = from->front().Text.size();
    if (!batch.Lines.empty() && taken + n > maxBytes)
      break;
    taken += n;
    batch.Lines.push_back(std::move(from->front().Text));
    // removeFront() would read the size of a string that has been moved from.
    --Lines;
    Bytes -= n;
    from->pop_front();
  }
  batch.Dropped = std::exchange(NewDrops, {});
  return batch;
}

bool LineQueue::isEmpty() const {
  absl::MutexLock lock(&Mutex);
  return Lines == 0 &&
         std::ranges::all_of(NewDrops, [](uint64_t n) { return n == 0; });
}

DropCounts LineQueue::dropped() const {
  absl::MutexLock lock(&Mutex);
  return AllDrops;
}

} // namespace jujube::logging
