// Keeps planning to a share of the control task's time, so that heartbeats,
// commits and calls go on whatever waits.
#ifndef JUJUBE_CONTROL_PLAN_PACER_H_
#define JUJUBE_CONTROL_PLAN_PACER_H_

#include <algorithm>

#include "jujube/base/clock.h"

namespace jujube::control {

class PlanPacer {
public:
  // A plan was made in this span.
  void note(Instant begin, Instant end) {
    Next = end + std::min((end - begin) * RestFactor, LongestRest);
  }
  // When the next plan may begin.
  Instant next() const { return Next; }

private:
  // Rest after a plan, as a multiple of its duration: planning takes a fifth of
  // the time while plans take 12 ms at most, and more if they take longer.
  static constexpr int64_t RestFactor = 4;
  // Source: a fifth of the shortest objective of the queues, 250 ms.
  static constexpr Duration LongestRest = Duration::millis(50);

  Instant Next;
};

} // namespace jujube::control

#endif // JUJUBE_CONTROL_PLAN_PACER_H_
