// The steps that are ready, and the places of their tasks.
#include <algorithm>
#include <utility>

#include "jujube/dispatch/pass.h"

namespace jujube::dispatch::internal {

Pass::Pass(const DispatchInput &input, const DispatchHooks &hooks)
    : In(input), Hooks(hooks) {
  for (const WorkerView &view : In.Workers) {
    const jobs::Load &load = In.Book.loadOf(view.Who->Id);
    Free[view.Who->Id] = view.Who->Capacity - load.Used;
    Filling[view.Who->Id] = load.FillerMilliCpu;
  }
}

DispatchPlan Pass::run() {
  std::vector<ReadyStep> steps = readySteps();
  std::ranges::sort(steps, [&](const ReadyStep &a, const ReadyStep &b) {
    return Hooks.GoesFirst(a, b, In.WallNow);
  });
  for (const ReadyStep &step : steps)
    place(step);
  Plan.Examined = Examined;
  return std::move(Plan);
}

std::vector<ReadyStep> Pass::readySteps() const {
  std::vector<ReadyStep> steps;
  for (const jobs::JobId &id : In.Book.openJobs()) {
    const jobs::Job &job = *In.Book.find(id);
    const jobs::Queue *queue =
        jobs::findQueue(In.Book.configuration(), job.Spec.Queue);
    if (queue == nullptr)
      continue;
    for (uint32_t k = 0; k < job.Rounds.size(); ++k)
      if (dueAt(job, k) <= In.WallNow || !job.Spec.FirstDue)
        addReadySteps(job, *queue, k, steps);
  }
  return steps;
}

void Pass::addReadySteps(const jobs::Job &job, const jobs::Queue &queue,
                         uint32_t occurrence,
                         std::vector<ReadyStep> &out) const {
  for (uint32_t s = 0; s < job.Spec.Steps.size(); ++s) {
    const jobs::StepState &state = job.Rounds[occurrence].Steps[s];
    const bool isGang = job.Spec.Steps[s].IsGang;
    const bool isWaiting =
        isGang ? state.LiveTasks == 0 && !state.isDone()
               : std::ranges::any_of(state.Tasks, [](const jobs::Task &it) {
                   return !it.IsDone && !it.Live;
                 });
    if (isWaiting && jobs::JobBook::isReady(job, occurrence, s))
      out.push_back({{job.Spec.Id, occurrence, s},
                     &job,
                     &job.Spec.Steps[s],
                     &state,
                     &queue,
                     objectiveOf(job, queue, occurrence),
                     failedOn(state)});
  }
}

std::set<WorkerId> Pass::failedOn(const jobs::StepState &state) {
  std::set<WorkerId> workers;
  for (const jobs::Task &task : state.Tasks)
    if (!task.IsDone && !task.LastFailedOn.empty())
      workers.insert(task.LastFailedOn);
  return workers;
}

int64_t Pass::teamRoom(const ReadyStep &step) {
  const jobs::Team *team =
      jobs::findTeam(In.Book.configuration(), step.Job->Spec.Team);
  if (team == nullptr)
    return INT64_MAX;
  const Resources used = In.Book.usedBy(team->Id) + Added[team->Id];
  int64_t room = INT64_MAX;
  const auto bound = [&room](int64_t most, int64_t have, int64_t each) {
    if (most > 0 && each > 0)
      room = std::min(room, std::max<int64_t>(most - have, 0) / each);
  };
  const Resources &ask = step.Spec->Ask;
  bound(team->Maximum.MilliCpu, used.MilliCpu, ask.MilliCpu);
  bound(team->Maximum.MemoryMb, used.MemoryMb, ask.MemoryMb);
  bound(team->Maximum.Accelerators, used.Accelerators, ask.Accelerators);
  return room;
}

void Pass::place(const ReadyStep &step) {
  if (step.Spec->IsGang)
    placeGang(step);
  else
    placeTasks(step);
}

std::vector<uint32_t> Pass::waitingTasks(const ReadyStep &step) {
  std::vector<uint32_t> waiting;
  for (uint32_t i = 0; i < step.State->Tasks.size(); ++i)
    if (!step.State->Tasks[i].IsDone && !step.State->Tasks[i].Live)
      waiting.push_back(i);
  return waiting;
}

void Pass::placeTasks(const ReadyStep &step) {
  const std::vector<uint32_t> waiting = waitingTasks(step);
  const int64_t most = teamRoom(step);
  std::size_t placed = 0;
  while (placed < waiting.size() && static_cast<int64_t>(placed) < most) {
    const Choice choice = choose(step, nullptr);
    if (choice.Who == nullptr)
      break;
    const jobs::Task &task = step.State->Tasks[waiting[placed]];
    commit(step, waiting[placed], task.LastAttempt + 1, choice);
    ++placed;
  }
  const std::size_t left = waiting.size() - placed;
  if (left == 0)
    return;
  noteWait(step, left, static_cast<int64_t>(placed) >= most);
  if (static_cast<int64_t>(placed) < most)
    askFor(step, left);
}

void Pass::placeGang(const ReadyStep &step) {
  const auto n = static_cast<int64_t>(step.State->Tasks.size());
  if (teamRoom(step) < n) {
    noteWait(step, step.State->Tasks.size(), true);
    return;
  }
  uint32_t attempt = 0;
  for (const jobs::Task &task : step.State->Tasks)
    attempt = std::max(attempt, task.LastAttempt + 1);
  if (step.Spec->IsTightlyCoupled && placeOnOneRack(step, attempt))
    return;
  if (placeAll(step, attempt, nullptr))
    return;
  noteWait(step, step.State->Tasks.size(), false);
  askFor(step, step.State->Tasks.size());
  holdRoomFor(step);
}

bool Pass::placeOnOneRack(const ReadyStep &step, uint32_t attempt) {
  std::set<std::string> racks;
  for (const WorkerView &view : In.Workers)
    racks.insert(view.Who->Rack);
  return std::ranges::any_of(racks, [&](const std::string &rack) {
    return placeAll(step, attempt, &rack);
  });
}

bool Pass::placeAll(const ReadyStep &step, uint32_t attempt,
                    const std::string *rack) {
  const auto freeBefore = Free;
  const auto fillingBefore = Filling;
  const auto addedBefore = Added;
  const std::size_t startsBefore = Plan.Starts.size();
  for (uint32_t i = 0; i < step.State->Tasks.size(); ++i) {
    const Choice choice = choose(step, rack);
    if (choice.Who == nullptr) {
      Free = freeBefore;
      Filling = fillingBefore;
      Added = addedBefore;
      Plan.Starts.resize(startsBefore);
      return false;
    }
    commit(step, i, attempt, choice);
  }
  return true;
}

Pass::Choice Pass::choose(const ReadyStep &step,
                          const std::string *rack) const {
  const WorkerView *best = nullptr;
  Examined += In.Workers.size();
  for (const WorkerView &view : In.Workers) {
    if (rack != nullptr && view.Who->Rack != *rack)
      continue;
    if (!hasRoom(step, view) || !isApproved(step, view.Who->Id))
      continue;
    if (best == nullptr || rankOf(step, view) < rankOf(step, *best))
      best = &view;
  }
  if (best == nullptr)
    return {};
  return {best->Who, In.Approved.ticket(step.Key, best->Who->Id, In.Now)
                         .value_or(std::string())};
}

void Pass::commit(const ReadyStep &step, uint32_t index, uint32_t attempt,
                  const Choice &choice) {
  Resources &free = Free[choice.Who->Id];
  const jobs::TaskKey task{step.Key.Job, step.Key.Occurrence, step.Key.Step,
                           index};
  Plan.Starts.push_back({{task, attempt, choice.Who->Id},
                         choice.Ticket,
                         free.MilliCpu,
                         isFar(step, *choice.Who),
                         step.DueBy - In.WallNow});
  free -= demandOf(*step.Spec);
  Filling[choice.Who->Id] += step.Spec->IsFiller ? step.Spec->Ask.MilliCpu : 0;
  Added[step.Job->Spec.Team] += step.Spec->Ask;
}

} // namespace jujube::dispatch::internal
