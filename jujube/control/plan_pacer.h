// Limits the share of time that the control task spends on planning, so that
// heartbeats, commits and calls are not delayed however much work waits.
#ifndef JUJUBE_CONTROL_PLAN_PACER_H_
#define JUJUBE_CONTROL_PLAN_PACER_H_

#include <algorithm>

#include "jujube/base/clock.h"

namespace jujube::control {

// Owned by the control task. Not thread-safe.
class PlanPacer {
public:
  // Records a plan that was made from `begin` to `end`.
  void note(Instant begin, Instant end) {
    Next = end + std::min((end - begin) * RestFactor, LongestRest);
  }
  // The earliest time of the next plan.
  Instant next() const { return Next; }

private:
  // Pause after a plan, as a multiple of its duration. Planning takes a fifth
  // of the time while plans take at most 12 ms, and more if they take longer.
  static constexpr int64_t RestFactor = 4;
  // A fifth of the shortest objective of a queue, 250 ms.
  static constexpr Duration LongestRest = Duration::millis(50);

  Instant Next;
};

} // namespace jujube::control

#endif // JUJUBE_CONTROL_PLAN_PACER_H_
