// The order in which a pass plans steps, and the starts that it adds.
#include "jujube/dispatch/pass.h"

#include <algorithm>
#include <utility>

#include "jujube/dispatch/step_walk.h"

namespace jujube::dispatch::internal {

int64_t ReadyStep::waitingTasks() const {
  return static_cast<int64_t>(State->Tasks.size()) - State->DoneTasks -
         State->LiveTasks;
}

Pass::Pass(const DispatchInput &input, const DispatchHooks &hooks)
    : Input(input), Hooks(hooks), Workers(input.Workers, input.Book) {
  Plan.Examined = Workers.size();
}

DispatchPlan Pass::run() {
  if (Input.Resume) {
    planRange(std::nullopt, Input.Resume->After, Input.Budget / 2);
    restoreReservations(Input.Resume->Reservations);
    planRange(Input.Resume->After, std::nullopt, Input.Budget);
  } else {
    planRange(std::nullopt, std::nullopt, Input.Budget);
  }
  return std::move(Plan);
}

void Pass::planRange(const std::optional<StepPosition> &after,
                     const std::optional<StepPosition> &until,
                     std::size_t budget) {
  // A plan that continues another has no window: what it passes over must have
  // been read before.
  StepWalk walk(Input.Book.waiting(), Hooks, Input.WallNow, after,
                Input.Resume ? AgedWindow() : Input.Aged);
  std::optional<StepPosition> last;
  while (const jobs::WaitingStep *step = walk.next()) {
    const StepPosition here = walk.position();
    if (until && (here >= *until || work() >= budget))
      return;
    if (!until && last && work() >= budget) {
      Plan.NextCursor = {*last, reservations()};
      return;
    }
    planStep(readyStep(*step),
             here.Phase == StepPhase::Aged ? MaxAgedTasks : INT64_MAX);
    last = here;
  }
}

std::size_t Pass::work() const {
  return Plan.Examined - Workers.size() + Plan.Steps * WorkPerStep;
}

ReadyStep Pass::readyStep(const jobs::WaitingStep &waiting) const {
  const jobs::StepKey &key = waiting.Key;
  const jobs::Job *job = Input.Book.find(key.Job);
  return {key,
          job,
          &job->Spec.Steps[key.Step],
          &job->Occurrences[key.Occurrence].Steps[key.Step],
          Input.Book.queueOf(*job),
          waiting.DueBy,
          Input.Approved.find(key)};
}

Pass::TeamState &Pass::teamOf(const ReadyStep &step) {
  const TeamId &id = step.Job->Spec.Team;
  const auto [it, isNew] = Teams.try_emplace(id.str());
  if (isNew)
    it->second = {jobs::findTeam(Input.Book.configuration(), id),
                  Input.Book.usedBy(id)};
  return it->second;
}

int64_t Pass::teamTaskLimit(const ReadyStep &step) {
  const TeamState &state = teamOf(step);
  if (state.Team == nullptr)
    return INT64_MAX;
  int64_t limit = INT64_MAX;
  const auto bound = [&limit](int64_t most, int64_t have, int64_t each) {
    if (most > 0 && each > 0)
      limit = std::min(limit, std::max<int64_t>(most - have, 0) / each);
  };
  const Resources &ask = step.Spec->Ask;
  const Resources &most = state.Team->Maximum;
  bound(most.MilliCpu, state.Used.MilliCpu, ask.MilliCpu);
  bound(most.MemoryMb, state.Used.MemoryMb, ask.MemoryMb);
  bound(most.Accelerators, state.Used.Accelerators, ask.Accelerators);
  return limit;
}

void Pass::planStep(const ReadyStep &step, int64_t maxTasks) {
  ++Plan.Steps;
  ApprovedNodes.reset();
  countTasks(step);
  const int64_t waiting = step.waitingTasks();
  const int64_t teamMost = teamTaskLimit(step);
  const bool isGang = step.Spec->IsGang;
  const int64_t most = isGang ? teamMost : std::min(teamMost, maxTasks);
  if (isGang)
    PlannedGangs.insert(step.Key);
  const int64_t wanted = isGang && most < waiting ? 0 : std::min(waiting, most);
  const int64_t placed = wanted > 0 ? place(step, wanted) : 0;
  const int64_t left = waiting - placed;
  if (left == 0)
    return;
  if (placed == wanted) {
    addWait(step, left,
            most < teamMost ? WaitCause::Capacity : WaitCause::TeamMaximum);
    return;
  }
  addWait(step, left, waitCause(step, left));
  queryApproval(step, left);
  if (isGang)
    reserveForGang(step);
}

int64_t Pass::place(const ReadyStep &step, int64_t wanted) {
  if (!hasCapacityAnywhere(step))
    return 0;
  const std::vector<NodeIndex> nodes = candidateNodes(step);
  std::vector<Pick> picks;
  if (step.Spec->IsGang && step.Spec->IsTightlyCoupled)
    picks = pickOnOneRack(step, nodes, wanted);
  if (picks.empty())
    picks = pick(step, nodes, wanted);
  commit(step, picks);
  int64_t placed = 0;
  for (const Pick &it : picks)
    placed += it.Tasks;
  return placed;
}

void Pass::commit(const ReadyStep &step, const std::vector<Pick> &picks) {
  const std::vector<jobs::Task> &tasks = step.State->Tasks;
  uint32_t gangAttempt = 0;
  if (step.Spec->IsGang)
    for (const jobs::Task &task : tasks)
      gangAttempt = std::max(gangAttempt, task.LastAttempt + 1);
  uint32_t index = 0;
  for (const Pick &it : picks)
    for (int64_t n = 0; n < it.Tasks; ++n, ++index) {
      while (tasks[index].IsDone || tasks[index].Live)
        ++index;
      start(step, index,
            step.Spec->IsGang ? gangAttempt : tasks[index].LastAttempt + 1,
            it.Node);
    }
}

void Pass::start(const ReadyStep &step, uint32_t index, uint32_t attempt,
                 NodeIndex node) {
  const Fleet::Node &worker = Workers[node];
  const jobs::TaskKey task{step.Key.Job, step.Key.Occurrence, step.Key.Step,
                           index};
  Plan.Starts.push_back(
      {{task, attempt, worker.Worker->Id},
       step.Queue->Approval
           ? step.Approval->Approved.at(worker.Worker->Id).Value
           : std::string(),
       worker.Free.MilliCpu,
       isDataRemote(step, *worker.Worker),
       step.DueBy - Input.WallNow});
  Workers.allocate(node, demandOf(*step.Spec),
                   step.Spec->IsFiller ? step.Spec->Ask.MilliCpu : 0);
  teamOf(step).Used += step.Spec->Ask;
  if (step.Spec->MaxPerWorker > 0)
    ++TasksOn[node];
}

} // namespace jujube::dispatch::internal
