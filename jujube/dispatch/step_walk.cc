#include "jujube/dispatch/step_walk.h"

namespace jujube::dispatch::internal {
namespace {

constexpr Instant Earliest = Instant::atMillis(INT64_MIN);
constexpr Instant Latest = Instant::atMillis(INT64_MAX);

} // namespace

StepWalk::StepWalk(const jobs::WaitingSteps &steps, const DispatchHooks &hooks,
                   Instant wallNow, const std::optional<StepPosition> &after)
    : Steps(steps.ordered()), Hooks(hooks), WallNow(wallNow), After(after) {
  beginGroup(After ? firstFrom(After->Priority, Earliest) : Steps.begin());
}

StepWalk::Order::const_iterator StepWalk::firstFrom(int32_t priority,
                                                    Instant dueBy) const {
  return Steps.lower_bound(jobs::WaitingStep{priority, dueBy, {}, {}, {}});
}

void StepWalk::beginGroup(Order::const_iterator first) {
  if (first == Steps.end()) {
    Now = Phase::End;
    return;
  }
  Priority = first->Priority;
  const bool isInLateOnes =
      After && After->Priority == Priority && After->IsLate;
  beginPhase(isInLateOnes ? Phase::Past : Phase::Timely);
}

void StepWalk::beginPhase(Phase phase) {
  Now = phase;
  const bool isPast = phase == Phase::Past;
  It = firstFrom(Priority, isPast ? Earliest : WallNow);
  PhaseEnd = firstFrom(Priority, isPast ? WallNow : Latest);
  const bool isAfterHere = After && After->Priority == Priority &&
                           After->IsLate == (phase != Phase::Timely);
  if (!isAfterHere)
    return;
  const bool isAfterPast = After->DueBy < WallNow;
  if (isAfterPast == isPast)
    It = Steps.upper_bound({Priority, After->DueBy, After->Key, {}, {}});
  else if (isPast)
    It = PhaseEnd;
}

void StepWalk::endPhase() {
  switch (Now) {
  case Phase::Timely:
    beginPhase(Phase::Past);
    return;
  case Phase::Past:
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
  while (Now != Phase::End) {
    while (It != PhaseEnd) {
      Last = &*It++;
      if (belongs(*Last))
        return Last;
    }
    endPhase();
  }
  return nullptr;
}

bool StepWalk::belongs(const jobs::WaitingStep &step) const {
  if (step.NotBefore > WallNow)
    return false;
  return Now == Phase::Past ||
         Hooks.CanBeInTime(step, WallNow) == (Now == Phase::Timely);
}

StepPosition StepWalk::position() const {
  return {Last->Priority, Now != Phase::Timely, Last->DueBy, Last->Key};
}

} // namespace jujube::dispatch::internal
