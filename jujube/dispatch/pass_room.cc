// Which workers have room for a step, and which go first.
#include <algorithm>
#include <functional>

#include "jujube/dispatch/pass.h"

namespace jujube::dispatch::internal {
namespace {

// Largest share of the workers on which room is kept for gangs, so that less
// urgent steps go on elsewhere.
constexpr double MaxHeldShare = 0.5;
// Tasks that fill may ask for this part of a worker's processors though all are
// given away. Source: tasks use less than they ask for.
constexpr int64_t FillerPart = 4;

bool hasLabel(const jobs::Worker &worker, const std::string &label) {
  return label.empty() ||
         std::ranges::find(worker.Labels, label) != worker.Labels.end();
}

} // namespace

void Pass::holdRoomFor(const ReadyStep &step) {
  const bool isLate = step.DueBy < In.WallNow + step.Spec->Estimate;
  if (isLate)
    return;
  std::vector<const WorkerView *> usable;
  Examined += In.Workers.size();
  for (const WorkerView &view : In.Workers)
    if (!Held.contains(view.Who->Id) && isEligible(step, *view.Who) &&
        isKnownApproved(step, view.Who->Id))
      usable.push_back(&view);
  std::ranges::sort(usable, std::greater<>(), [&](const WorkerView *view) {
    return Free.at(view->Who->Id).MilliCpu;
  });
  const auto most = static_cast<std::size_t>(
      MaxHeldShare * static_cast<double>(In.Workers.size()));
  auto needed = static_cast<int64_t>(step.State->Tasks.size());
  for (const WorkerView *view : usable) {
    if (needed <= 0 || Held.size() >= most)
      return;
    Held.insert(view->Who->Id);
    needed -= fitCount(step, view->Who->Capacity);
  }
}

bool Pass::isKnownApproved(const ReadyStep &step,
                           const WorkerId &worker) const {
  if (!step.Queue->Approval)
    return true;
  const ApprovalState state = In.Approved.stateOf(step.Key, worker, In.Now);
  return state == ApprovalState::Valid || state == ApprovalState::Expired;
}

bool Pass::isApproved(const ReadyStep &step, const WorkerId &worker) const {
  return !step.Queue->Approval ||
         In.Approved.stateOf(step.Key, worker, In.Now) == ApprovalState::Valid;
}

uint32_t Pass::tasksOn(const ReadyStep &step, const WorkerId &worker) const {
  const auto isHere = [&](const jobs::Task &task) {
    return task.Live && task.Live->Worker == worker;
  };
  const auto planned =
      std::ranges::count_if(Plan.Starts, [&](const PlannedStart &it) {
        return it.Start.Worker == worker &&
               jobs::stepOf(it.Start.Task) == step.Key;
      });
  return static_cast<uint32_t>(
      std::ranges::count_if(step.State->Tasks, isHere) + planned);
}

void Pass::noteWait(const ReadyStep &step, std::size_t tasks,
                    bool isAtTeamMaximum) {
  Plan.Waits.push_back(
      {step.Key,
       isAtTeamMaximum ? WaitCause::TeamMaximum : placeCause(step, tasks),
       tasks});
}

WaitCause Pass::placeCause(const ReadyStep &step, std::size_t tasks) const {
  const auto needed = step.Spec->IsGang ? static_cast<int64_t>(tasks) : 1;
  int64_t room = 0;
  bool isAnyEligible = false;
  Examined += In.Workers.size();
  for (const WorkerView &view : In.Workers) {
    isAnyEligible |= isEligible(step, *view.Who);
    if (room < needed && hasRoom(step, view))
      room += fitCount(step, Free.at(view.Who->Id));
  }
  if (!isAnyEligible)
    return WaitCause::NoWorker;
  return room >= needed ? WaitCause::Approval : WaitCause::Room;
}

bool Pass::hasRoom(const ReadyStep &step, const WorkerView &view) const {
  const jobs::Worker &worker = *view.Who;
  return !Held.contains(worker.Id) && isEligible(step, worker) &&
         demandOf(*step.Spec).fitsIn(Free.at(worker.Id)) &&
         (!step.Spec->IsFiller || mayFill(step, worker)) &&
         (step.Spec->MaxPerWorker == 0 ||
          tasksOn(step, worker.Id) < step.Spec->MaxPerWorker);
}

int64_t Pass::leftOver(const jobs::Worker &worker) const {
  return std::max(Free.at(worker.Id).MilliCpu,
                  worker.Capacity.MilliCpu / FillerPart) -
         Filling.at(worker.Id);
}

bool Pass::mayFill(const ReadyStep &step, const jobs::Worker &worker) const {
  return step.Spec->Ask.MilliCpu <= leftOver(worker);
}

bool Pass::isEligible(const ReadyStep &step, const jobs::Worker &worker) {
  return worker.Pool == step.Queue->Pool &&
         demandOf(*step.Spec).fitsIn(worker.Capacity) &&
         hasLabel(worker, step.Spec->RequiredLabel);
}

std::tuple<bool, bool, bool, int64_t>
Pass::rankOf(const ReadyStep &step, const WorkerView &view) const {
  return {view.IsDoubtful, step.FailedOn.contains(view.Who->Id),
          isFar(step, *view.Who),
          step.Spec->IsFiller ? -leftOver(*view.Who)
                              : Free.at(view.Who->Id).MilliCpu};
}

bool Pass::isFar(const ReadyStep &step, const jobs::Worker &worker) {
  return !step.Spec->DataRack.empty() && !hasLabel(worker, step.Spec->DataRack);
}

int64_t Pass::fitCount(const ReadyStep &step, Resources free) {
  const Resources demand = demandOf(*step.Spec);
  int64_t n = 0;
  const int64_t most = step.Spec->MaxPerWorker == 0
                           ? static_cast<int64_t>(step.State->Tasks.size())
                           : step.Spec->MaxPerWorker;
  while (n < most && demand.fitsIn(free)) {
    free -= demand;
    ++n;
  }
  return n;
}

} // namespace jujube::dispatch::internal
