#include "jujube/dispatch/step_walk.h"

#include <algorithm>
#include <cstdint>

namespace jujube::dispatch::internal {
namespace {

constexpr Instant Earliest = Instant::atMillis(INT64_MIN);

StepPosition positionOf(const jobs::WaitingStep &step, bool isLate) {
  return {step.Priority, isLate, step.DueBy, step.Key};
}

} // namespace

StepWalk::StepWalk(const jobs::WaitingSteps &steps, const DispatchHooks &hooks,
                   Instant wallNow, const std::optional<StepPosition> &after)
    : Steps(steps.ordered()), Hooks(hooks), WallNow(wallNow), After(after),
      It(after ? firstFrom(after->Priority, Earliest) : Steps.begin()) {
  beginGroup();
}

StepWalk::Order::const_iterator StepWalk::firstFrom(int32_t priority,
                                                    Instant dueBy) const {
  return Steps.lower_bound(jobs::WaitingStep{priority, dueBy, {}, {}, {}});
}

void StepWalk::beginGroup() {
  if (It == Steps.end()) {
    Now = Phase::End;
    return;
  }
  Priority = It->Priority;
  PastEnd = firstFrom(Priority, WallNow);
  It = PastEnd;
  Now = Phase::Timely;
  Skipped.clear();
  SkippedAt = 0;
}

const jobs::WaitingStep *StepWalk::next() {
  Last = nullptr;
  while (Last == nullptr && Now != Phase::End) {
    switch (Now) {
    case Phase::Timely:
      Last = nextTimely();
      break;
    case Phase::Past:
      Last = nextPast();
      break;
    case Phase::Skipped:
      Last = nextSkipped();
      break;
    case Phase::End:
      break;
    }
  }
  return Last;
}

const jobs::WaitingStep *StepWalk::nextTimely() {
  while (It != Steps.end() && It->Priority == Priority) {
    const jobs::WaitingStep &step = *It++;
    if (step.NotBefore > WallNow)
      continue;
    if (!Hooks.CanBeInTime(step, WallNow))
      Skipped.push_back(&step);
    else if (isBehindStart(step, false))
      return &step;
  }
  Now = Phase::Past;
  const bool isInside = After && After->Priority == Priority && After->IsLate;
  It = firstFrom(Priority,
                 isInside ? std::min(After->DueBy, WallNow) : Earliest);
  return nullptr;
}

const jobs::WaitingStep *StepWalk::nextPast() {
  while (It != PastEnd) {
    const jobs::WaitingStep &step = *It++;
    if (step.NotBefore <= WallNow && isBehindStart(step, true))
      return &step;
  }
  Now = Phase::Skipped;
  return nullptr;
}

const jobs::WaitingStep *StepWalk::nextSkipped() {
  while (SkippedAt < Skipped.size()) {
    const jobs::WaitingStep &step = *Skipped[SkippedAt++];
    if (isBehindStart(step, true))
      return &step;
  }
  It = firstFrom(Priority + 1, Earliest);
  beginGroup();
  return nullptr;
}

bool StepWalk::isBehindStart(const jobs::WaitingStep &step, bool isLate) const {
  return !After || *After < positionOf(step, isLate);
}

StepPosition StepWalk::position() const {
  return positionOf(*Last, Now != Phase::Timely);
}

} // namespace jujube::dispatch::internal
