#include "jujube/dispatch/step_walk.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace jujube::dispatch::internal {
namespace {

constexpr Instant Earliest = Instant::fromMillis(INT64_MIN);
constexpr Instant Latest = Instant::fromMillis(INT64_MAX);

// Steps are aged once they have waited for this long beyond their objectives.
constexpr Duration AgedAfter = Duration::seconds(60);
// Most aged steps of a priority among which a window is chosen.
constexpr std::size_t MaxAgedPerPriority = 64;
// The priority in the position of aged steps: before all others.
constexpr int32_t AgedPriority = std::numeric_limits<int32_t>::min();

} // namespace

StepWalk::StepWalk(const jobs::WaitingSteps &steps, const DispatchHooks &hooks,
                   Instant wallNow, const std::optional<StepPosition> &after,
                   AgedWindow window)
    : Steps(steps.ordered()), Hooks(hooks), WallNow(wallNow), After(after) {
  findAged(window);
  if (!After || After->Phase == StepPhase::Aged)
    Current = Phase::Aged;
  else
    beginGroup(firstFrom(After->Priority, Earliest));
}

// Within a priority, steps are ordered by their objectives.
void StepWalk::findAged(AgedWindow window) {
  if (window.Steps == 0)
    return;
  const auto isBefore = [](const jobs::WaitingStep *a,
                           const jobs::WaitingStep *b) {
    return std::tie(a->DueBy, a->Key) < std::tie(b->DueBy, b->Key);
  };
  for (auto it = Steps.begin(); it != Steps.end();
       it = firstFrom(it->Priority, Latest)) {
    auto step = it;
    for (std::size_t n = 0;
         n < MaxAgedPerPriority && step != Steps.end() &&
         step->Priority == it->Priority && step->DueBy + AgedAfter < WallNow;
         ++step, ++n)
      if (step->NotBefore <= WallNow)
        Aged.push_back(&*step);
  }
  std::ranges::sort(Aged, isBefore);
  if (Aged.size() <= window.Steps)
    return;
  std::rotate(Aged.begin(),
              Aged.begin() +
                  static_cast<std::ptrdiff_t>(window.Offset % Aged.size()),
              Aged.end());
  Aged.resize(window.Steps);
  std::ranges::sort(Aged, isBefore);
}

bool StepWalk::isAged(const jobs::WaitingStep &step) const {
  return std::ranges::find(Aged, &step) != Aged.end();
}

const jobs::WaitingStep *StepWalk::nextAged() {
  while (NextAged < Aged.size()) {
    Last = Aged[NextAged++];
    if (!After || position() > *After)
      return Last;
  }
  beginGroup(Steps.begin());
  return nullptr;
}

StepWalk::Order::const_iterator StepWalk::firstFrom(int32_t priority,
                                                    Instant dueBy) const {
  return Steps.lower_bound(
      jobs::WaitingStep{priority, dueBy, {}, {}, {}, {}, {}, {}});
}

void StepWalk::beginGroup(Order::const_iterator first) {
  if (first == Steps.end()) {
    Current = Phase::End;
    return;
  }
  Priority = first->Priority;
  HasOverShare = false;
  const bool resumesHere = After && After->Priority == Priority;
  if (resumesHere && After->Phase == StepPhase::Late) {
    beginPhase(Phase::Overdue);
  } else if (resumesHere && After->Phase == StepPhase::OverShare) {
    HasOverShare = true;
    beginPhase(Phase::OverShare);
  } else {
    // Steps over their share may have been passed before.
    HasOverShare = resumesHere;
    beginPhase(Phase::Timely);
  }
}

StepPhase StepWalk::stepPhaseOf(Phase phase) {
  switch (phase) {
  case Phase::Aged:
    return StepPhase::Aged;
  case Phase::Timely:
    return StepPhase::Timely;
  case Phase::OverShare:
    return StepPhase::OverShare;
  case Phase::Overdue:
  case Phase::Late:
  case Phase::End:
    break;
  }
  return StepPhase::Late;
}

void StepWalk::beginPhase(Phase phase) {
  Current = phase;
  const bool isOverdue = phase == Phase::Overdue;
  It = firstFrom(Priority, isOverdue ? Earliest : WallNow);
  PhaseEnd = firstFrom(Priority, isOverdue ? WallNow : Latest);
  const bool resumesInThisPhase = After && After->Priority == Priority &&
                                  After->Phase == stepPhaseOf(phase);
  if (!resumesInThisPhase)
    return;
  const bool resumesInOverdue = After->DueBy < WallNow;
  if (resumesInOverdue == isOverdue)
    It = Steps.upper_bound(
        {Priority, After->DueBy, After->Key, {}, {}, {}, {}, {}});
  else if (isOverdue)
    It = PhaseEnd;
}

void StepWalk::endPhase() {
  switch (Current) {
  case Phase::Timely:
    beginPhase(HasOverShare ? Phase::OverShare : Phase::Overdue);
    return;
  case Phase::OverShare:
    beginPhase(Phase::Overdue);
    return;
  case Phase::Overdue:
    beginPhase(Phase::Late);
    return;
  case Phase::Late:
    beginGroup(PhaseEnd);
    return;
  case Phase::Aged:
  case Phase::End:
    return;
  }
}

const jobs::WaitingStep *StepWalk::next() {
  if (Current == Phase::Aged)
    if (const jobs::WaitingStep *step = nextAged())
      return step;
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

bool StepWalk::belongsToPhase(const jobs::WaitingStep &step) {
  if (step.NotBefore > WallNow || isAged(step))
    return false;
  if (Current == Phase::Overdue)
    return true;
  const bool isTimely = Hooks.CanMeetObjective(step, WallNow);
  if (Current == Phase::Late || !isTimely)
    return !isTimely && Current == Phase::Late;
  const bool isWithin = Hooks.IsWithinShare(step);
  HasOverShare |= !isWithin;
  return isWithin == (Current == Phase::Timely);
}

StepPosition StepWalk::position() const {
  const StepPhase phase = stepPhaseOf(Current);
  return {phase == StepPhase::Aged ? AgedPriority : Last->Priority, phase,
          Last->DueBy, Last->Key};
}

} // namespace jujube::dispatch::internal
