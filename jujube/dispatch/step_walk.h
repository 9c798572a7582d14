// Iterates over the waiting steps in the order in which a pass plans them.
// Internal to this folder.
#ifndef JUJUBE_DISPATCH_STEP_WALK_H_
#define JUJUBE_DISPATCH_STEP_WALK_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "jujube/dispatch/dispatcher.h"

namespace jujube::dispatch::internal {

// Iterates in the order of StepPosition: first the steps that have waited
// longest beyond their objectives, then by priority, phase and objective. Steps
// that are not due yet are skipped.
class StepWalk {
public:
  // Starts after the position `after`, or at the first step if it is unset. All
  // arguments must outlive the walk.
  StepWalk(const jobs::WaitingSteps &steps, const DispatchHooks &hooks,
           Instant wallNow, const std::optional<StepPosition> &after,
           AgedWindow window = {});

  // Returns the next step, or null at the end.
  const jobs::WaitingStep *next();
  // The position of the step that next() returned last.
  StepPosition position() const;

private:
  using Order = jobs::WaitingSteps::Order;
  // The steps of one priority are read in these phases, one after the other.
  enum class Phase {
    Aged,
    Timely,
    OverShare,
    // Steps whose objective has passed.
    Overdue,
    // Steps whose objective has not passed but can't be met any more.
    Late,
    End,
  };

  static StepPhase stepPhaseOf(Phase phase);
  // Finds the steps of phase Aged.
  void findAged(AgedWindow window);
  const jobs::WaitingStep *nextAged();
  bool isAged(const jobs::WaitingStep &step) const;
  // Starts with the priority of the step at `first`.
  void beginGroup(Order::const_iterator first);
  void beginPhase(Phase phase);
  void endPhase();
  // True if the step is due and is read in the current phase.
  bool belongsToPhase(const jobs::WaitingStep &step);
  // The first step that is not ordered before this priority and objective.
  Order::const_iterator firstFrom(int32_t priority, Instant dueBy) const;

  const Order &Steps;
  const DispatchHooks &Hooks;
  Instant WallNow;
  const std::optional<StepPosition> &After;

  // The oldest first.
  std::vector<const jobs::WaitingStep *> Aged;
  std::size_t NextAged = 0;
  // The priority and the phase that are being read.
  Phase Current = Phase::End;
  int32_t Priority = 0;
  // Some step of the priority may be over its team's share.
  bool HasOverShare = false;
  Order::const_iterator It;
  Order::const_iterator PhaseEnd;
  const jobs::WaitingStep *Last = nullptr;
};

} // namespace jujube::dispatch::internal

#endif // JUJUBE_DISPATCH_STEP_WALK_H_
