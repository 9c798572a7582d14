// Runs events in time order, for tests with simulated time.
#ifndef TESTING_EVENT_QUEUE_H_
#define TESTING_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "jujube/base/clock.h"

namespace jujube::testing {

// Events of one instant run in the order in which they were added.
class EventQueue {
public:
  using Handler = std::function<void()>;

  void callAt(Instant when, Handler handler) {
    Events.emplace(std::pair(std::max(when, Current), ++LastSerial),
                   std::move(handler));
  }
  void callAfter(Duration span, Handler handler) {
    callAt(Current + span, std::move(handler));
  }

  // Runs all events up to `end`, which becomes the current instant.
  void runUntil(Instant end) {
    while (!Events.empty() && Events.begin()->first.first <= end) {
      auto node = Events.extract(Events.begin());
      Current = node.key().first;
      node.mapped()();
    }
    Current = end;
  }

  Instant now() const { return Current; }

private:
  std::map<std::pair<Instant, uint64_t>, Handler> Events;
  Instant Current;
  uint64_t LastSerial = 0;
};

} // namespace jujube::testing

#endif // TESTING_EVENT_QUEUE_H_
