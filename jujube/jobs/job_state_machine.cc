#include "jujube/jobs/job_state_machine.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "jujube/jobs/objective.h"

namespace jujube::jobs {
namespace {

// Most departed workers that are remembered: more than leave a large fleet in a
// day.
constexpr std::size_t MaxDeparted = 4096;

const StepSpec &specOf(const Job &job, const TaskKey &key) {
  return job.Spec.Steps[key.Step];
}

bool contains(const Job &job, const TaskKey &key) {
  return key.Occurrence < job.Occurrences.size() &&
         key.Step < job.Occurrences[key.Occurrence].Steps.size() &&
         key.Index <
             job.Occurrences[key.Occurrence].Steps[key.Step].Tasks.size();
}

StepState &stepStateOf(Job &job, const TaskKey &key) {
  return job.Occurrences[key.Occurrence].Steps[key.Step];
}

// Requested processors times estimated run times of all tasks.
int64_t workOf(const JobSpec &spec) {
  // The sum over all jobs stays within the range.
  constexpr double MostWork = 1e12;
  // Work that is due later does not delay what is due now.
  if (spec.FirstDue)
    return 0;
  double work = 0;
  for (const StepSpec &step : spec.Steps)
    work += static_cast<double>(step.Tasks) *
            static_cast<double>(step.Ask.MilliCpu) *
            static_cast<double>(step.Estimate.millis());
  return static_cast<int64_t>(std::min(work * spec.Occurrences, MostWork));
}

} // namespace

bool isOwnedBy(const Job &job, const Owner &caller) {
  const bool hasKey = !caller.Key.empty() && caller.Key == job.From.By.Key;
  return hasKey || caller.Team == TeamId() || job.Spec.Team == TeamId() ||
         isSameOwner({job.Spec.Team, job.From.Key}, caller);
}

bool isReachedBy(const Job &job, const Caller &caller,
                 const QueuePlace &selected) {
  const bool isSameTarget = caller.HostName == job.From.By.HostName &&
                            caller.Path == job.From.By.Path;
  return isSameTarget || selected == job.Place || selected == job.From.Place ||
         selected == job.From.MovedTo;
}

void JobStateMachine::apply(const Event &event) {
  std::visit([this](const auto &what) { handle(what); }, event);
}

const Job *JobStateMachine::find(const JobId &id) const {
  const auto it = Jobs.find(id);
  return it == Jobs.end() ? nullptr : &it->second;
}

Job *JobStateMachine::findMutable(const JobId &id) {
  const auto it = Jobs.find(id);
  return it == Jobs.end() ? nullptr : &it->second;
}

const Worker *JobStateMachine::findWorker(const WorkerId &id) const {
  const auto it = Workers.find(id);
  return it == Workers.end() ? nullptr : &it->second;
}

const Load &JobStateMachine::loadOf(const WorkerId &id) const {
  static const Load None;
  const auto it = Loads.find(id);
  return it == Loads.end() ? None : it->second;
}

Resources JobStateMachine::usedBy(const TeamId &team) const {
  const auto it = Used.find(team);
  return it == Used.end() ? Resources{} : it->second;
}

const Task *JobStateMachine::findTask(const TaskKey &key) const {
  const Job *job = find(key.Job);
  return job != nullptr && contains(*job, key)
             ? &job->Occurrences[key.Occurrence]
                    .Steps[key.Step]
                    .Tasks[key.Index]
             : nullptr;
}

const StepSpec *JobStateMachine::findStep(const StepKey &key) const {
  const Job *job = find(key.Job);
  return job != nullptr && key.Step < job->Spec.Steps.size()
             ? &job->Spec.Steps[key.Step]
             : nullptr;
}

const StepState *JobStateMachine::findStepState(const StepKey &key) const {
  const Job *job = find(key.Job);
  return job != nullptr && key.Occurrence < job->Occurrences.size() &&
                 key.Step < job->Occurrences[key.Occurrence].Steps.size()
             ? &job->Occurrences[key.Occurrence].Steps[key.Step]
             : nullptr;
}

bool JobStateMachine::isLive(const TaskKey &key, uint32_t attempt) const {
  const Task *task = findTask(key);
  return task != nullptr && task->Live && task->Live->Attempt == attempt;
}

uint64_t JobStateMachine::pending(const QueueId &queue) const {
  const Queue *held = findQueue(Config, queue);
  const auto it =
      held != nullptr ? Pending.find(placeOf(*held)) : Pending.end();
  return it == Pending.end() ? 0 : it->second;
}

bool JobStateMachine::isReady(const Job &job, uint32_t occurrence,
                              uint32_t step) {
  const Occurrence &round = job.Occurrences[occurrence];
  return std::ranges::all_of(job.Spec.Steps[step].After, [&](uint32_t before) {
    return round.Steps[before].isDone();
  });
}

void JobStateMachine::handle(const JobAccepted &event) {
  accept(event, {}, {});
}

void JobStateMachine::handle(const JobAcceptedAt &event) {
  accept(event.What, event.Place, {});
}

void JobStateMachine::handle(const JobSubmitted &event) {
  // A queue that several configurations have left behind.
  if (event.Terms && findQueue(Config, event.Place) == nullptr)
    Retired.try_emplace(event.Place, *event.Terms);
  accept(event.What, event.Place, event.By);
}

void JobStateMachine::accept(const JobAccepted &event, const QueuePlace &place,
                             const Caller &by) {
  const Owner owner = currentOwner({event.Spec.Team, by.Key});
  if (Jobs.contains(event.Spec.Id) || Withdrawn.contains(event.Spec.Id, owner))
    return;
  Job job{event.Spec, event.AcceptedAt};
  job.Spec.Team = owner.Team;
  job.Place = place;
  job.From = {by, owner.Key, place};
  Occurrence round;
  for (const StepSpec &step : event.Spec.Steps)
    round.Steps.push_back(StepState{std::vector<Task>(step.Tasks)});
  job.Occurrences.assign(std::max<uint32_t>(event.Spec.Occurrences, 1), round);
  adoptTerms(job);
  Usage.advance(event.AcceptedAt);
  if (const Team *team = findTeam(Config, owner.Team))
    job.IsBeyondRate = !Usage.takeAllowance(team->Id, team->Weight);
  Open.insert(event.Spec.Id);
  countQueued(job);
  updateAllWaiting(Jobs.emplace(event.Spec.Id, std::move(job)).first->second);
}

void JobStateMachine::handle(const JobCancelled &event) {
  Job *job = findMutable(event.Job);
  if (job != nullptr && !isEnded(job->State))
    end(*job, JobState::Cancelled);
}

void JobStateMachine::handle(const JobWithdrawn &event) {
  Job *job = findMutable(event.Job);
  const Owner by = currentOwner(event.By);
  if (job == nullptr)
    Withdrawn.record(event.Job, by);
  else if (!isEnded(job->State) && isOwnedBy(*job, by))
    end(*job, JobState::Cancelled);
}

void JobStateMachine::handle(const AttemptStarted &event) {
  Job *job = findMutable(event.Task.Job);
  if (job == nullptr || isEnded(job->State) || !contains(*job, event.Task) ||
      !mayStartOn(event.Worker))
    return;
  StepState &step = stepStateOf(*job, event.Task);
  Task &task = step.Tasks[event.Task.Index];
  if (task.IsDone || task.Live || event.Attempt <= task.LastAttempt)
    return;
  task.LastAttempt = event.Attempt;
  task.Live = Run{event.Worker, event.Attempt};
  ++step.LiveTasks;
  ++job->LiveTasks;
  setState(*job, JobState::Running);
  addLoad(*job, event.Task, event.Worker);
  Usage.begin(job->Spec.Team, specOf(*job, event.Task).Ask);
  updateWaitingFrom(*job, event.Task.Occurrence, event.Task.Step);
}

void JobStateMachine::handle(const AttemptEnded &event) {
  Job *job = findMutable(event.Task.Job);
  if (job == nullptr || !isLive(event.Task, event.Attempt))
    return;
  const StepSpec &spec = specOf(*job, event.Task);
  StepState &step = stepStateOf(*job, event.Task);
  Task &task = step.Tasks[event.Task.Index];
  if (!event.Checkpoint.empty())
    task.Checkpoint = event.Checkpoint;
  if (event.How == EndKind::Failed)
    task.LastFailedOn = task.Live->Worker;
  clearLiveAttempt(*job, event.Task);
  if (isEnded(job->State)) {
    releaseDetails(*job);
    return;
  }
  if (event.How == EndKind::Done && !spec.IsLongRunning)
    countDone(*job, step, event.Task);
  else if (event.How == EndKind::Failed && !spec.IsLongRunning && !task.IsDone)
    countFailure(*job, step, event.Task, event.Attempt);
  if (isEnded(job->State))
    return;
  if (step.isDone() && isAllDone(*job))
    end(*job, JobState::Completed);
  else
    updateWaitingFrom(*job, event.Task.Occurrence, event.Task.Step);
}

void JobStateMachine::countDone(const Job &job, StepState &step,
                                const TaskKey &key) {
  if (!specOf(job, key).IsGang) {
    step.Tasks[key.Index].IsDone = true;
    ++step.DoneTasks;
    return;
  }
  // The first member that is done completes the whole gang.
  for (Task &task : step.Tasks)
    task.IsDone = true;
  step.DoneTasks = static_cast<uint32_t>(step.Tasks.size());
}

void JobStateMachine::countFailure(Job &job, StepState &step,
                                   const TaskKey &key, uint32_t attempt) {
  uint32_t failures = ++step.Tasks[key.Index].Failures;
  if (specOf(job, key).IsGang) {
    if (step.LastFailedAttempt < attempt) {
      step.LastFailedAttempt = attempt;
      ++step.GangFailures;
    }
    failures = step.GangFailures;
  }
  if (job.MaxAttempts != 0 && failures >= job.MaxAttempts)
    end(job, JobState::Failed);
}

void JobStateMachine::handle(const WorkerChanged &event) {
  if (hasDeparted(event.Now.Id, event.Now.WorkerIncarnation))
    return;
  Worker &current = Workers[event.Now.Id];
  if (event.Now.WorkerIncarnation < current.WorkerIncarnation)
    return;
  // Draining is final for an incarnation; an announcement sent earlier may
  // arrive late.
  const bool isDraining =
      event.Now.WorkerIncarnation == current.WorkerIncarnation &&
      current.IsDraining;
  current = event.Now;
  current.IsDraining |= isDraining;
}

void JobStateMachine::handle(const WorkerGone &event) {
  const auto it = Workers.find(event.Worker);
  if (it == Workers.end() ||
      it->second.WorkerIncarnation > event.WorkerIncarnation)
    return;
  const std::set<TaskKey> tasks = loadOf(event.Worker).Tasks;
  for (const TaskKey &key : tasks) {
    const Task *task = findTask(key);
    handle(AttemptEnded{key, task->Live->Attempt, EndKind::Lost, {}});
  }
  if (it->second.IsDraining)
    recordDeparture(event.Worker, it->second.WorkerIncarnation);
  Workers.erase(event.Worker);
}

bool JobStateMachine::hasDeparted(const WorkerId &id,
                                  Incarnation incarnation) const {
  const auto it = Departed.find(id);
  return it != Departed.end() && incarnation <= it->second;
}

void JobStateMachine::recordDeparture(const WorkerId &id,
                                      Incarnation incarnation) {
  const auto [it, isNew] = Departed.try_emplace(id, incarnation);
  it->second = std::max(it->second, incarnation);
  if (!isNew)
    return;
  DepartureOrder.push_back(id);
  if (DepartureOrder.size() <= MaxDeparted)
    return;
  Departed.erase(DepartureOrder.front());
  DepartureOrder.pop_front();
}

// A start that was proposed before the evacuation may come after it in the log.
bool JobStateMachine::mayStartOn(const WorkerId &id) const {
  const Worker *worker = findWorker(id);
  return worker != nullptr && !isEvacuated(*worker);
}

void JobStateMachine::handle(const AttemptStartedAt &event) {
  Usage.advance(event.At);
  handle(event.What);
}

void JobStateMachine::handle(const AttemptEndedAt &event) {
  Usage.advance(event.At);
  handle(event.What);
}

void JobStateMachine::handle(const ZoneEvacuated &event) {
  Evacuated.insert(event.Zone);
}

void JobStateMachine::handle(const ZoneRestored &event) {
  Evacuated.erase(event.Zone);
}

void JobStateMachine::handle(const JobsForgotten &event) {
  for (const JobId &id : event.Jobs) {
    const Job *job = find(id);
    if (job != nullptr && isEnded(job->State) && job->LiveTasks == 0)
      Jobs.erase(id);
    Withdrawn.forget(id);
  }
}

void JobStateMachine::end(Job &job, JobState state) {
  setState(job, state);
  Open.erase(job.Spec.Id);
  removeWaiting(job);
  releaseDetails(job);
}

void JobStateMachine::setState(Job &job, JobState state) {
  if (job.State == JobState::Queued && state != JobState::Queued)
    uncountQueued(job);
  job.State = state;
}

void JobStateMachine::countQueued(const Job &job) {
  ++Pending[job.Place];
  QueuedWork[{job.Spec.Team, job.Place}] += workOf(job.Spec);
}

void JobStateMachine::uncountQueued(const Job &job) {
  if (--Pending[job.Place] == 0)
    Pending.erase(job.Place);
  const auto it = QueuedWork.find({job.Spec.Team, job.Place});
  if (it != QueuedWork.end() && (it->second -= workOf(job.Spec)) <= 0)
    QueuedWork.erase(it);
}

bool JobStateMachine::isWaiting(const Job &job, uint32_t occurrence,
                                uint32_t step) {
  const StepState &state = job.Occurrences[occurrence].Steps[step];
  const bool hasTasks =
      job.Spec.Steps[step].IsGang
          ? state.LiveTasks == 0 && !state.isDone()
          : state.DoneTasks + state.LiveTasks < state.Tasks.size();
  return hasTasks && isReady(job, occurrence, step);
}

void JobStateMachine::updateWaiting(const Job &job, const Queue &queue,
                                    uint32_t occurrence, uint32_t step) {
  const StepKey key{job.Spec.Id, occurrence, step};
  if (!isWaiting(job, occurrence, step)) {
    Waiting.erase(key);
    return;
  }
  if (!Waiting.contains(key))
    Waiting.insertOrReplace(
        {queue.Priority, objectiveOf(job, queue, occurrence), key,
         job.Spec.FirstDue ? dueAt(job, occurrence) : Instant(),
         job.Spec.Steps[step].Estimate, job.Spec.Team, queue.Id,
         job.IsBeyondRate});
}

void JobStateMachine::updateWaitingFrom(const Job &job, uint32_t occurrence,
                                        uint32_t step) {
  const Queue *queue = queueOf(job);
  if (queue == nullptr)
    return;
  updateWaiting(job, *queue, occurrence, step);
  const auto end = static_cast<uint32_t>(job.Spec.Steps.size());
  if (job.Occurrences[occurrence].Steps[step].isDone())
    for (uint32_t later = step + 1; later < end; ++later)
      updateWaiting(job, *queue, occurrence, later);
}

void JobStateMachine::updateAllWaiting(const Job &job) {
  const Queue *queue = queueOf(job);
  if (queue == nullptr)
    return;
  for (uint32_t k = 0; k < job.Occurrences.size(); ++k)
    for (uint32_t s = 0; s < job.Occurrences[k].Steps.size(); ++s)
      updateWaiting(job, *queue, k, s);
}

void JobStateMachine::removeWaiting(const Job &job) {
  for (uint32_t k = 0; k < job.Occurrences.size(); ++k)
    for (uint32_t s = 0; s < job.Occurrences[k].Steps.size(); ++s)
      Waiting.erase({job.Spec.Id, k, s});
}

void JobStateMachine::releaseDetails(Job &job) {
  if (job.LiveTasks != 0)
    return;
  job.Spec.Payload.clear();
  job.Spec.Payload.shrink_to_fit();
  job.Spec.Steps = {};
  job.Occurrences = {};
}

bool JobStateMachine::isAllDone(const Job &job) {
  return std::ranges::all_of(job.Occurrences, [](const Occurrence &round) {
    return std::ranges::all_of(round.Steps, &StepState::isDone);
  });
}

void JobStateMachine::clearLiveAttempt(Job &job, const TaskKey &key) {
  StepState &step = stepStateOf(job, key);
  Task &task = step.Tasks[key.Index];
  removeLoad(job, key, task.Live->Worker);
  Usage.end(job.Spec.Team, specOf(job, key).Ask);
  task.Live.reset();
  --step.LiveTasks;
  --job.LiveTasks;
}

void JobStateMachine::addLoad(const Job &job, const TaskKey &key,
                              const WorkerId &worker) {
  const StepSpec &spec = specOf(job, key);
  Load &load = Loads[worker];
  load.Used += demandOf(spec);
  load.FillerMilliCpu += spec.IsFiller ? spec.Ask.MilliCpu : 0;
  load.Tasks.insert(key);
  Used[job.Spec.Team] += spec.Ask;
}

void JobStateMachine::removeLoad(const Job &job, const TaskKey &key,
                                 const WorkerId &worker) {
  const StepSpec &spec = specOf(job, key);
  Load &load = Loads[worker];
  load.Used -= demandOf(spec);
  load.FillerMilliCpu -= spec.IsFiller ? spec.Ask.MilliCpu : 0;
  load.Tasks.erase(key);
  if (load.Tasks.empty())
    Loads.erase(worker);
  Resources &used = Used[job.Spec.Team];
  used -= spec.Ask;
  if (used == Resources{})
    Used.erase(job.Spec.Team);
}

} // namespace jujube::jobs
