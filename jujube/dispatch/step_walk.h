// Reads the steps that wait in the order in which a pass handles them. Not for
// use outside this folder.
#ifndef JUJUBE_DISPATCH_STEP_WALK_H_
#define JUJUBE_DISPATCH_STEP_WALK_H_

#include <cstdint>
#include <optional>

#include "jujube/dispatch/dispatcher.h"

namespace jujube::dispatch::internal {

// Steps by priority; of one priority first those that can be in time, then the
// late ones; of these the earlier objective first. Steps that are not due are
// left out.
class StepWalk {
public:
  // Begins behind `after` if it is set. All arguments outlive the walk.
  StepWalk(const jobs::WaitingSteps &steps, const DispatchHooks &hooks,
           Instant wallNow, const std::optional<StepPosition> &after);

  // Null at the end.
  const jobs::WaitingStep *next();
  // Of the step that next() returned last.
  StepPosition position() const;

private:
  using Order = jobs::WaitingSteps::Order;
  // What is read of one priority, one after the other.
  enum class Phase {
    // Steps that can be in time.
    Timely,
    // Steps whose objective has passed.
    Past,
    // Late steps whose objective has not passed.
    Late,
    End,
  };

  // Begins with the priority of the step at `first`.
  void beginGroup(Order::const_iterator first);
  void beginPhase(Phase phase);
  void endPhase();
  bool belongs(const jobs::WaitingStep &step) const;
  Order::const_iterator firstFrom(int32_t priority, Instant dueBy) const;

  const Order &Steps;
  const DispatchHooks &Hooks;
  Instant WallNow;
  const std::optional<StepPosition> &After;

  Phase Now = Phase::End;
  int32_t Priority = 0;
  Order::const_iterator It;
  Order::const_iterator PhaseEnd;
  const jobs::WaitingStep *Last = nullptr;
};

} // namespace jujube::dispatch::internal

#endif // JUJUBE_DISPATCH_STEP_WALK_H_
