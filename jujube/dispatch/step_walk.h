// Reads the steps that wait in the order in which a pass handles them. Not for
// use outside this folder.
#ifndef JUJUBE_DISPATCH_STEP_WALK_H_
#define JUJUBE_DISPATCH_STEP_WALK_H_

#include <cstddef>
#include <optional>
#include <vector>

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
  enum class Phase { Timely, Past, Skipped, End };

  // Begins with the priority of the step at `It`.
  void beginGroup();
  const jobs::WaitingStep *nextTimely();
  const jobs::WaitingStep *nextPast();
  const jobs::WaitingStep *nextSkipped();
  bool isBehindStart(const jobs::WaitingStep &step, bool isLate) const;
  Order::const_iterator firstFrom(int32_t priority, Instant dueBy) const;

  const Order &Steps;
  const DispatchHooks &Hooks;
  Instant WallNow;
  const std::optional<StepPosition> &After;

  Phase Now = Phase::Timely;
  int32_t Priority = 0;
  Order::const_iterator It;
  // End of the steps of this priority whose objective has passed.
  Order::const_iterator PastEnd;
  // Late steps of this priority whose objective has not passed.
  std::vector<const jobs::WaitingStep *> Skipped;
  std::size_t SkippedAt = 0;
  const jobs::WaitingStep *Last = nullptr;
};

} // namespace jujube::dispatch::internal

#endif // JUJUBE_DISPATCH_STEP_WALK_H_
