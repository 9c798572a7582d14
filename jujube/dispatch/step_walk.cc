#include "jujube/dispatch/step_walk.h"

namespace jujube::dispatch::internal {
namespace {

constexpr Instant Earliest = Instant::fromMillis(INT64_MIN);
constexpr Instant Latest = Instant::fromMillis(INT64_MAX);

} // namespace

StepWalk::StepWalk(const jobs::WaitingSteps &steps, const DispatchHooks &hooks,
                   Instant wallNow, const std::optional<StepPosition> &after)
    : Steps(steps.ordered()), Hooks(hooks), WallNow(wallNow), After(after) {
  beginGroup(After ? firstFrom(After->Priority, Earliest) : Steps.begin());
}

StepWalk::Order::const_iterator StepWalk::firstFrom(int32_t priority,
                                                    Instant dueBy) const {
  return Steps.lower_bound(jobs::WaitingStep{priority, dueBy, {}, {}, {}, {}, {}});
}

void StepWalk::beginGroup(Order::const_iterator first) {
  if (first == Steps.end()) {
    Current = Phase::End;
    return;
  }
  Priority = first->Priority;
  const bool resumesAmongLate =
      After && After->Priority == Priority && After->IsLate;
  beginPhase(resumesAmongLate ? Phase::Overdue : Phase::Timely);
}

void StepWalk::beginPhase(Phase phase) {
  Current = phase;
  const bool isOverdue = phase == Phase::Overdue;
  It = firstFrom(Priority, isOverdue ? Earliest : WallNow);
  PhaseEnd = firstFrom(Priority, isOverdue ? WallNow : Latest);
  const bool resumesInThisPhase = After && After->Priority == Priority &&
                                  After->IsLate == (phase != Phase::Timely);
  if (!resumesInThisPhase)
    return;
  const bool resumesInOverdue = After->DueBy < WallNow;
  if (resumesInOverdue == isOverdue)
    It = Steps.upper_bound({Priority, After->DueBy, After->Key, {}, {}, {}, {}});
  else if (isOverdue)
    It = PhaseEnd;
}

void StepWalk::endPhase() {
  switch (Current) {
  case Phase::Timely:
    beginPhase(Phase::Overdue);
    return;
  case Phase::Overdue:
    beginPhase(Phase::Late);
    return;
  case Phase::Late:
    beginGroup(PhaseEnd);
    return;
  case Phase::End:
    return;
  }
}

const jobs::WaitingStep *StepWalk::next() {
  while (Current != Phase::End) {
    while (It != PhaseEnd) {
      Last = &*It++;
      if (belongsToPhase(*Last))
        return Last;
    }
    endPhase();
  }
  return nullptr;
}

bool StepWalk::belongsToPhase(const jobs::WaitingStep &step) const {
  if (step.NotBefore > WallNow)
    return false;
  return Current == Phase::Overdue ||
         Hooks.CanMeetObjective(step, WallNow) == (Current == Phase::Timely);
}

StepPosition StepWalk::position() const {
  return {Last->Priority, Current != Phase::Timely, Last->DueBy, Last->Key};
}

} // namespace jujube::dispatch::internal
