// Commands that wait for their turn on the leader: bounds how many one turn
// takes on, and sheds those that have waited too long to be of use.
#ifndef JUJUBE_CONTROL_ADMISSION_QUEUE_H_
#define JUJUBE_CONTROL_ADMISSION_QUEUE_H_

#include <cstddef>
#include <deque>
#include <functional>

#include "jujube/base/clock.h"
#include "jujube/base/result.h"

namespace jujube::control {

// Belongs to one task. Each entry ends by exactly one of its hooks.
class AdmissionQueue {
public:
  struct Entry {
    std::function<void()> Run;
    // Called in place of Run: the command was surely not taken.
    std::function<void(const Error &)> Shed;
  };

  // Commands that one call of serve() runs, and that it sheds.
  static constexpr std::size_t MaxRuns = 64;
  static constexpr std::size_t MaxSheds = 256;
  // A command that has waited this long is shed. Source: half of the time after
  // which a front sends a command again.
  static constexpr Duration Patience = Duration::millis(250);

  void push(Entry entry, Instant now);
  // Ends the oldest entries, as many as the bounds allow.
  void serve(Instant now);
  bool empty() const { return Entries.empty(); }
  std::size_t size() const { return Entries.size(); }

private:
  struct Held {
    Instant Arrived;
    Entry What;
  };

  std::deque<Held> Entries;
};

} // namespace jujube::control

#endif // JUJUBE_CONTROL_ADMISSION_QUEUE_H_
