// A FIFO queue that limits how many commands the leader runs in one event loop
// turn, and sheds commands that have waited too long.
#ifndef JUJUBE_CONTROL_ADMISSION_QUEUE_H_
#define JUJUBE_CONTROL_ADMISSION_QUEUE_H_

#include <cstddef>
#include <deque>
#include <functional>

#include "jujube/base/clock.h"
#include "jujube/base/result.h"

namespace jujube::control {

// Owned by one task and not thread-safe. Exactly one hook of each entry is
// called.
class AdmissionQueue {
public:
  struct Entry {
    std::function<void()> Run;
    // Called instead of Run. The command has had no effect.
    std::function<void(const Error &)> Shed;
  };

  // The most commands that one call of serve() runs, and sheds.
  static constexpr std::size_t MaxRuns = 64;
  static constexpr std::size_t MaxSheds = 256;
  // Commands that have waited longer are shed: half of the time after which an
  // entry host resends a command.
  static constexpr Duration MaxWait = Duration::millis(250);

  void push(Entry entry, Instant now);
  // Runs or sheds the oldest entries, within the limits above.
  void serve(Instant now);
  bool empty() const { return Entries.empty(); }
  std::size_t size() const { return Entries.size(); }

private:
  struct QueuedEntry {
    Instant ArrivalTime;
    Entry Command;
  };

  std::deque<QueuedEntry> Entries;
};

} // namespace jujube::control

#endif // JUJUBE_CONTROL_ADMISSION_QUEUE_H_
