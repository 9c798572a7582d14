// The const member functions of FateStateMachine: decisions and views.
#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

#include "jujube/fate/fate_state_machine.h"

namespace jujube::fate {
namespace {

bool isEndPhase(TaskPhase phase) {
  return phase != TaskPhase::Started && phase != TaskPhase::Running;
}

Error duplicateRequest(const RequestId &id) {
  return {ErrorKind::DuplicateRequest,
          absl::StrCat("request id ", id.str(),
                       " is already in use by a different request"),
          "submit this request with a new request id"};
}

Error requestNotFound(const RequestId &id) {
  return {ErrorKind::NotFound,
          absl::StrCat(
              "request ", id.str(),
              " is unknown, belongs to another team, or ended too long ago"),
          "check the request id, and that the key belongs to the team that "
          "submitted it"};
}

// A request has the first of these states that one of its tasks has.
constexpr FateState StatePrecedence[] = {
    FateState::Running,  FateState::Offered,    FateState::Queued,
    FateState::Accepted, FateState::Unresolved, FateState::Failed,
    FateState::Cancelled};

FateState stateOfTasks(const std::vector<TaskRecord> &tasks) {
  const auto occurs = [&](FateState state) {
    return std::ranges::find(tasks, state, &TaskRecord::State) != tasks.end();
  };
  const auto it = std::ranges::find_if(StatePrecedence, occurs);
  if (it != std::end(StatePrecedence))
    return *it;
  if (!occurs(FateState::NotRun))
    return FateState::Finished;
  // If some tasks have finished, the request as a whole has failed: NotRun
  // means that nothing has run.
  return occurs(FateState::Finished) ? FateState::Failed : FateState::NotRun;
}

TaskView taskViewOf(const TaskRecord &task, uint32_t n) {
  const bool isFinished = task.State == FateState::Finished;
  return {n,
          task.State,
          task.Attempts,
          task.Worker,
          isFinished ? task.Text : "",
          isFinished ? "" : task.Text};
}

} // namespace

const RequestRecord *FateStateMachine::findRequest(const RequestId &id) const {
  const auto it = Requests.find(id);
  return it == Requests.end() ? nullptr : &it->second;
}

const TaskRecord *FateStateMachine::findTask(const TaskId &id) const {
  const RequestRecord *request = findRequest(id.Request);
  return request == nullptr || id.Index >= request->Tasks.size()
             ? nullptr
             : &request->Tasks[id.Index];
}

std::optional<FateView> FateStateMachine::view(const RequestId &id) const {
  if (const RequestRecord *request = findRequest(id))
    return viewOf(*request);
  const auto live = LiveRequests.find(id);
  return live == LiveRequests.end()
             ? std::nullopt
             : std::optional<FateView>(viewOf(live->second));
}

std::optional<FateState> FateStateMachine::stateOf(const RequestId &id) const {
  if (const RequestRecord *request = findRequest(id))
    return stateOfTasks(request->Tasks);
  const auto live = LiveRequests.find(id);
  return live == LiveRequests.end()
             ? std::nullopt
             : std::optional<FateState>(live->second.State);
}

FateView FateStateMachine::viewOf(const RequestRecord &request) const {
  FateView view{request.Work.Request,
                request.Work.Team,
                request.Work.Entry.Id,
                stateOfTasks(request.Tasks),
                {},
                request.AcceptedAt,
                request.StartedAt,
                request.EndedAt};
  for (uint32_t n = 0; n < request.Tasks.size(); ++n)
    view.Tasks.push_back(taskViewOf(request.Tasks[n], n));
  return view;
}

FateView FateStateMachine::viewOf(const LiveRecord &live) const {
  TaskRecord task;
  task.State = live.State;
  task.Attempts = 1;
  task.Text = live.Text;
  return {live.Offer.Request,
          live.Offer.Team,
          live.Offer.Entry,
          live.State,
          {taskViewOf(task, 0)},
          live.Offer.At,
          live.Offer.At,
          isTerminal(live.State) ? live.ChangedAt : Instant::never()};
}

Result<std::optional<Event>> FateStateMachine::submit(const Submission &work,
                                                      Instant now) const {
  if (LiveRequests.contains(work.Request))
    return duplicateRequest(work.Request);
  const RequestRecord *known = findRequest(work.Request);
  if (known == nullptr)
    return std::optional<Event>(RequestAccepted{work, now});
  if (known->Work.Team != work.Team ||
      known->Work.BodyDigest != work.BodyDigest)
    return duplicateRequest(work.Request);
  return std::optional<Event>();
}

Result<std::optional<Event>> FateStateMachine::cancel(const RequestId &id,
                                                      const TeamId &team,
                                                      Instant now) const {
  const RequestRecord *request = findRequest(id);
  if (request == nullptr && LiveRequests.contains(id))
    return Error{ErrorKind::InvalidArgument,
                 "a live request can't be cancelled",
                 "use a shorter timeout for the live request"};
  if (request == nullptr || request->Work.Team != team)
    return requestNotFound(id);
  if (request->OpenTasks == 0 || request->IsCancelled)
    return std::optional<Event>();
  return std::optional<Event>(RequestCancelled{id, now});
}

std::optional<Event> FateStateMachine::reject(const RequestId &id, Error reason,
                                              Instant now) const {
  const RequestRecord *request = findRequest(id);
  const auto isRejectable = [](const TaskRecord &task) {
    return task.State == FateState::Queued && !task.MayHaveRun;
  };
  if (request == nullptr || std::ranges::none_of(request->Tasks, isRejectable))
    return std::nullopt;
  return RequestRejected{id, std::move(reason), now};
}

std::optional<Event> FateStateMachine::offer(const TaskId &id, Term term,
                                             const WorkerId &worker,
                                             Incarnation start,
                                             const Resources &reserved,
                                             Instant now) const {
  const TaskRecord *task = findTask(id);
  if (task == nullptr || task->State != FateState::Queued)
    return std::nullopt;
  const bool mustNotRepeat =
      !findRequest(id.Request)->Work.Entry.IsIdempotent && task->MayHaveRun;
  if (mustNotRepeat)
    return std::nullopt;
  const AttemptToken token{term, task->Attempts + uint64_t{1}};
  return TaskOffered{id, token, worker, start, reserved, now};
}

std::optional<Event>
FateStateMachine::changeReservation(const TaskId &id, const Resources &reserved,
                                    Instant now) const {
  const TaskRecord *task = findTask(id);
  if (task == nullptr || !task->HasActiveAttempt || task->Reserved == reserved)
    return std::nullopt;
  return ReservationChanged{id, task->Token, reserved, now};
}

std::vector<Event> FateStateMachine::report(const WorkerId &worker,
                                            Incarnation start,
                                            const TaskReport &report,
                                            Instant now) const {
  const TaskRecord *task = findTask(report.Task);
  if (task == nullptr || task->Worker != worker ||
      task->WorkerIncarnation != start || !isOpenAttempt(*task, report.Token))
    return {};
  if (isEndPhase(report.Phase)) {
    const bool isLateRefusal =
        report.Phase == TaskPhase::Refused && task->State == FateState::Running;
    if (isLateRefusal)
      return {};
    return {
        TaskEnded{report.Task, report.Token, report.Phase, report.Text, now}};
  }
  if (task->State == FateState::Offered)
    return {TaskStarted{report.Task, report.Token, now}};
  return {};
}

std::optional<DirectiveKind>
FateStateMachine::directiveFor(const WorkerId &worker,
                               const TaskReport &report) const {
  const TaskRecord *task = findTask(report.Task);
  const bool isOpen = task != nullptr && task->Worker == worker &&
                      isOpenAttempt(*task, report.Token);
  if (isEndPhase(report.Phase)) {
    const bool isLateRefusal = isOpen && report.Phase == TaskPhase::Refused &&
                               task->State == FateState::Running;
    return isOpen && !isLateRefusal ? std::nullopt
                                    : std::optional(DirectiveKind::Acknowledge);
  }
  const bool mayRun = isOpen && task->HasActiveAttempt &&
                      !findRequest(report.Task.Request)->isStopping();
  return mayRun ? std::nullopt : std::optional(DirectiveKind::Stop);
}

std::vector<Event> FateStateMachine::workerExpired(const WorkerId &worker,
                                                   Instant now) const {
  std::vector<Event> events;
  for (const TaskId &id : indexOn(worker).Tasks)
    events.emplace_back(AttemptLost{
        id, findTask(id)->Token, false,
        absl::StrCat("the lease of worker ", worker.str(), " ran out"), now});
  return events;
}

std::vector<Event> FateStateMachine::workerRestarted(const WorkerId &worker,
                                                     Incarnation start,
                                                     Instant now) const {
  std::vector<Event> events;
  const auto addIfLost = [&](const TaskId &id) {
    const TaskRecord *task = findTask(id);
    if (task->Worker == worker && task->WorkerIncarnation < start)
      events.emplace_back(AttemptLost{
          id, task->Token, true,
          absl::StrCat("worker ", worker.str(), " restarted"), now});
  };
  const WorkerAttempts &attempts = indexOn(worker);
  if (!attempts.AttemptsByIncarnation.empty() &&
      attempts.AttemptsByIncarnation.begin()->first < start)
    std::ranges::for_each(attempts.Tasks, addIfLost);
  for (const auto &[at, id] : Unresolved)
    addIfLost(id);
  return events;
}

std::vector<Event> FateStateMachine::entryHostLost(const HostId &host,
                                                   Instant now) const {
  std::vector<Event> events;
  const auto it = ByEntryHost.find(host);
  if (it == ByEntryHost.end())
    return events;
  for (const RequestId &id : it->second)
    events.emplace_back(LiveEnded{id, host, LiveRequests.at(id).Offer.Runner,
                                  FateState::Unresolved,
                                  "its entry host is gone", now});
  return events;
}

Result<std::optional<Event>>
FateStateMachine::offerLive(const LiveOffered &offer) const {
  if (Requests.contains(offer.Request))
    return duplicateRequest(offer.Request);
  const auto it = LiveRequests.find(offer.Request);
  if (it == LiveRequests.end())
    return std::optional<Event>(offer);
  const LiveRecord &known = it->second;
  if (known.Offer.Team != offer.Team ||
      known.Offer.BodyDigest != offer.BodyDigest)
    return duplicateRequest(offer.Request);
  if (known.State != FateState::Queued)
    return std::optional<Event>();
  return std::optional<Event>(offer);
}

std::vector<Event> FateStateMachine::dueEvents(Instant now,
                                               std::size_t max) const {
  std::vector<Event> events;
  // Adds the events for those entries of `index` that are at least `age` old.
  const auto collect = [&](const auto &index, Duration age, auto eventOf) {
    for (const auto &[at, id] : index) {
      if (events.size() >= max || at + age > now)
        return;
      if (std::optional<Event> event = eventOf(id))
        events.push_back(*std::move(event));
    }
  };
  collect(StartDeadlines, Duration(),
          [&](const RequestId &id) { return rejectOverdue(id, now); });
  collect(Unresolved, Policy.ResolveWithin, [&](const TaskId &id) {
    return std::optional<Event>(AttemptLost{
        id, findTask(id)->Token, true, "its worker has not come back", now});
  });
  collect(UnsettledLive, Policy.ResolveWithin, [&](const RequestId &id) {
    const LiveRecord &live = LiveRequests.at(id);
    const bool isRefused = live.State == FateState::Queued;
    return std::optional<Event>(
        LiveEnded{id, live.Offer.EntryHost, live.Offer.Runner,
                  isRefused ? FateState::NotRun : FateState::Failed,
                  isRefused ? "refused and not offered again"
                            : "outcome not known, it may have run",
                  now});
  });
  collectExpired(now, max, events);
  return events;
}

std::size_t FateStateMachine::endedTasksOf(const RequestId &id) const {
  const RequestRecord *request = findRequest(id);
  return request == nullptr ? 1 : request->Tasks.size();
}

void FateStateMachine::collectExpired(Instant now, std::size_t max,
                                      std::vector<Event> &events) const {
  std::size_t kept = EndedTasks;
  for (const auto &[at, id] : EndedRequests) {
    const Duration age = now - at;
    const bool isSurplus =
        kept > Policy.MaxEndedTasks && age >= Policy.MinRetention;
    if (events.size() >= max || (age < Policy.Retention && !isSurplus))
      return;
    kept -= endedTasksOf(id);
    events.emplace_back(FateForgotten{id});
  }
}

std::optional<Event> FateStateMachine::rejectOverdue(const RequestId &id,
                                                     Instant now) const {
  const RequestRecord *request = findRequest(id);
  return reject(
      id,
      {ErrorKind::DeadlineExceeded,
       absl::StrCat("it had not started ", request->Work.StartWithin.millis(),
                    " ms after it was accepted"),
       "submit it again with a longer limit"},
      now);
}

Attempt FateStateMachine::attemptOf(const RequestRecord &request,
                                    uint32_t n) const {
  const TaskRecord &task = request.Tasks[n];
  return {{request.Work.Request, n},
          request.Work.Team,
          request.Work.Entry.Id,
          task.Token,
          task.Worker,
          task.WorkerIncarnation,
          task.Reserved,
          task.State,
          request.isStopping()};
}

std::vector<Attempt> FateStateMachine::activeAttempts() const {
  std::vector<Attempt> attempts;
  for (const auto &[id, request] : Requests)
    for (uint32_t n = 0; n < request.Tasks.size(); ++n)
      if (request.Tasks[n].HasActiveAttempt)
        attempts.push_back(attemptOf(request, n));
  return attempts;
}

std::vector<TaskId> FateStateMachine::queuedTasks() const {
  std::vector<TaskId> tasks;
  for (const auto &[id, request] : Requests)
    for (uint32_t n = 0; n < request.Tasks.size(); ++n)
      if (request.Tasks[n].State == FateState::Queued)
        tasks.push_back({id, n});
  return tasks;
}

std::vector<Attempt>
FateStateMachine::attemptsOn(const WorkerId &worker) const {
  std::vector<Attempt> attempts;
  for (const TaskId &id : indexOn(worker).Tasks)
    attempts.push_back(attemptOf(Requests.at(id.Request), id.Index));
  return attempts;
}

bool FateStateMachine::isRunning(const WorkerId &worker, const TaskId &task,
                                 const AttemptToken &token) const {
  const TaskRecord *record = findTask(task);
  return record != nullptr && record->HasActiveAttempt &&
         record->Worker == worker && record->Token == token &&
         record->State == FateState::Running;
}

std::vector<WorkerId> FateStateMachine::busyWorkers() const {
  std::vector<WorkerId> workers;
  for (const auto &[worker, attempts] : ByWorker.all())
    workers.push_back(worker);
  return workers;
}

std::vector<HostId> FateStateMachine::busyEntryHosts() const {
  std::vector<HostId> hosts;
  for (const auto &[host, requests] : ByEntryHost)
    hosts.push_back(host);
  return hosts;
}

Resources FateStateMachine::usedBy(const TeamId &team) const {
  const auto it = UsedByTeam.find(team);
  return it == UsedByTeam.end() ? Resources{} : it->second;
}

} // namespace jujube::fate
