// Events of one turn on their way into the log, with those who wait for them.
#ifndef JUJUBE_CONTROL_EVENT_BATCH_H_
#define JUJUBE_CONTROL_EVENT_BATCH_H_

#include <cstddef>
#include <functional>
#include <vector>

#include "jujube/jobs/events.h"

namespace jujube::control {

// Events that become one entry of the log.
struct BatchPart {
  std::vector<jobs::Event> Events;
  // Told whether the events are stored.
  std::vector<std::function<void(bool)>> Done;

  void finish(bool isStored) const;
};

// Owned by the control task.
class EventBatch {
public:
  // A part is not added to any more once it has about this many bytes. Source:
  // a quarter of the largest message between members.
  static constexpr std::size_t MaxPartBytes = std::size_t{1} << 20;

  // Events that are added together stay in one part.
  void add(std::vector<jobs::Event> events, std::function<void(bool)> done);
  bool empty() const { return Parts.empty(); }
  // Hands out the parts in order and begins anew.
  std::vector<BatchPart> take();

private:
  std::vector<BatchPart> Parts;
  std::size_t LastBytes = 0;
};

} // namespace jujube::control

#endif // JUJUBE_CONTROL_EVENT_BATCH_H_
