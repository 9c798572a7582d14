// Collects the events of one event loop turn, so that they are stored together.
#ifndef JUJUBE_CONTROL_EVENT_BATCH_H_
#define JUJUBE_CONTROL_EVENT_BATCH_H_

#include <cstddef>
#include <functional>
#include <vector>

#include "jujube/jobs/events.h"

namespace jujube::control {

// Events that are stored as one log entry.
struct BatchPart {
  std::vector<jobs::Event> Events;
  // Called with true if the events were stored.
  std::vector<std::function<void(bool)>> Done;

  void finish(bool isStored) const;
};

// Groups events into log entries of bounded size. Owned by the control task.
class EventBatch {
public:
  // Approximate limit on the size of a part, a quarter of the largest message
  // between members. A single call of add() may exceed it.
  static constexpr std::size_t MaxPartBytes = std::size_t{1} << 20;

  // Events of one call stay in one part.
  void add(std::vector<jobs::Event> events, std::function<void(bool)> done);
  bool empty() const { return Parts.empty(); }
  // Returns the parts in order and empties the batch.
  std::vector<BatchPart> take();

private:
  std::vector<BatchPart> Parts;
  std::size_t LastBytes = 0;
};

} // namespace jujube::control

#endif // JUJUBE_CONTROL_EVENT_BATCH_H_
