#include "jujube/fate/fate_state_machine.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace jujube::fate {
namespace {

bool isGang(const RequestRecord &request) {
  return request.Work.Entry.Class == catalogue::WorkClass::Gang;
}

// Returns true for states of a live request that a later event normally
// changes. If no such event comes, dueEvents() ends the request.
bool isUnsettled(FateState state) {
  return state == FateState::Queued || state == FateState::Unresolved;
}

bool isLiveEndState(FateState state) {
  return isTerminal(state) || isUnsettled(state);
}

} // namespace

bool FateStateMachine::apply(const Event &event) {
  return std::visit([this](const auto &e) { return handle(e); }, event);
}

bool FateStateMachine::handle(const RequestAccepted &event) {
  const RequestId &id = event.Work.Request;
  if (Requests.contains(id) || LiveRequests.contains(id) ||
      event.Work.Tasks == 0)
    return false;
  RequestRecord &request = Requests[id];
  request.Work = event.Work;
  request.AcceptedAt = event.At;
  request.OpenTasks = event.Work.Tasks;
  request.UnstartedTasks = event.Work.Tasks;
  request.Tasks.resize(event.Work.Tasks);
  index(request);
  return true;
}

bool FateStateMachine::handle(const TaskOffered &event) {
  const auto it = Requests.find(event.Task.Request);
  if (it == Requests.end() || event.Task.Index >= it->second.Tasks.size())
    return false;
  RequestRecord &request = it->second;
  TaskRecord &task = request.Tasks[event.Task.Index];
  const bool isNonIdempotent = !request.Work.Entry.IsIdempotent;
  if (task.State != FateState::Queued || event.Token <= task.Token ||
      (isNonIdempotent && task.MayHaveRun))
    return false;
  task.State = FateState::Offered;
  task.HasActiveAttempt = true;
  ++task.Attempts;
  task.Token = event.Token;
  task.Worker = event.Worker;
  task.WorkerIncarnation = event.WorkerIncarnation;
  task.Reserved = event.Reserved;
  UsedByTeam[request.Work.Team] += event.Reserved;
  ByWorker.add(placedAttempt({event.Task, request, task}));
  return true;
}

bool FateStateMachine::handle(const TaskStarted &event) {
  const auto ref = findOpenAttempt(event.Task, event.Token);
  if (!ref || ref->Task.State != FateState::Offered)
    return false;
  ByWorker.remove(placedAttempt(*ref));
  ref->Task.State = FateState::Running;
  ByWorker.add(placedAttempt(*ref));
  markStarted(*ref, event.At);
  return true;
}

bool FateStateMachine::handle(const ReservationChanged &event) {
  const auto ref = findOpenAttempt(event.Task, event.Token);
  if (!ref || !ref->Task.HasActiveAttempt ||
      ref->Task.Reserved == event.Reserved)
    return false;
  UsedByTeam[ref->Request.Work.Team] += event.Reserved - ref->Task.Reserved;
  ref->Task.Reserved = event.Reserved;
  return true;
}

bool FateStateMachine::handle(const TaskEnded &event) {
  const auto ref = findOpenAttempt(event.Task, event.Token);
  const bool isRefused = event.Phase == TaskPhase::Refused;
  if (!ref || (isRefused && ref->Task.State == FateState::Running) ||
      event.Phase == TaskPhase::Started || event.Phase == TaskPhase::Running)
    return false;
  releaseReservation(*ref);
  if (isRefused && ref->Task.State == FateState::Unresolved)
    ref->Task.MayHaveRun = false;
  if (!isRefused)
    markStarted(*ref, event.At);
  if (event.Phase == TaskPhase::Finished)
    endTask(*ref, FateState::Finished, event.Text, event.At);
  else if (event.Phase == TaskPhase::Failed && ref->Request.isStopping())
    endTask(*ref, FateState::Failed, event.Text, event.At);
  else
    retry(*ref, event.Text, event.Phase == TaskPhase::Failed, event.At);
  return true;
}

bool FateStateMachine::handle(const AttemptLost &event) {
  const auto ref = findOpenAttempt(event.Task, event.Token);
  if (!ref || (ref->Task.State == FateState::Unresolved && !event.IsForgotten))
    return false;
  const catalogue::Entry &entry = ref->Request.Work.Entry;
  releaseReservation(*ref);
  markStarted(*ref, event.At);
  if (entry.IsIdempotent || ref->Request.isStopping()) {
    // Services run longer than many workers, so the loss of a worker doesn't
    // count as a failed attempt of a service.
    retry(*ref, event.Reason, entry.Class != catalogue::WorkClass::Service,
          event.At);
  } else if (event.IsForgotten) {
    endTask(*ref, FateState::Failed,
            absl::StrCat("outcome not known, it may have run: ", event.Reason),
            event.At);
  } else {
    ref->Task.State = FateState::Unresolved;
    ref->Task.Text = event.Reason;
    ref->Task.LostAt = event.At;
    Unresolved.emplace(event.At, event.Task);
  }
  return true;
}

bool FateStateMachine::handle(const RequestCancelled &event) {
  const auto it = Requests.find(event.Request);
  if (it == Requests.end() || it->second.IsCancelled ||
      it->second.OpenTasks == 0)
    return false;
  stopRequest(it->second, [&] { it->second.IsCancelled = true; });
  endQueued(it->second, "cancelled by its caller", event.At);
  return true;
}

bool FateStateMachine::handle(const RequestRejected &event) {
  const auto it = Requests.find(event.Request);
  if (it == Requests.end())
    return false;
  RequestRecord &request = it->second;
  const std::string reason = event.Reason.text();
  bool isChanged = false;
  for (uint32_t n = 0; n < request.Tasks.size(); ++n) {
    TaskRecord &task = request.Tasks[n];
    if (task.State != FateState::Queued || task.MayHaveRun)
      continue;
    const TaskId id{event.Request, n};
    endTask({id, request, task}, FateState::NotRun, reason, event.At);
    isChanged = true;
  }
  return isChanged;
}

bool FateStateMachine::handle(const LiveOffered &event) {
  if (Requests.contains(event.Request))
    return false;
  const auto [it, isNew] = LiveRequests.try_emplace(event.Request);
  LiveRecord &live = it->second;
  if (!isNew && live.State != FateState::Queued)
    return false;
  if (!isNew)
    unindex(live);
  live = {event, FateState::Offered, event.At, ""};
  index(live);
  return true;
}

bool FateStateMachine::handle(const LiveEnded &event) {
  const auto it = LiveRequests.find(event.Request);
  if (it == LiveRequests.end() || !isLiveEndState(event.State))
    return false;
  LiveRecord &live = it->second;
  const bool isCurrent = live.Offer.EntryHost == event.EntryHost &&
                         live.Offer.Runner == event.Runner;
  // A refused request has no outcome at the runner, so it can only end as
  // NotRun.
  const bool isPossible =
      live.State != FateState::Queued || event.State == FateState::NotRun;
  if (!isCurrent || !isPossible || isTerminal(live.State) ||
      live.State == event.State)
    return false;
  unindex(live);
  live.State = event.State;
  live.ChangedAt = event.At;
  live.Text = event.Text;
  index(live);
  return true;
}

bool FateStateMachine::handle(const FateForgotten &event) {
  if (const auto it = Requests.find(event.Request); it != Requests.end()) {
    if (it->second.OpenTasks != 0)
      return false;
    unindexEnded(it->second.EndedAt, event.Request, it->second.Tasks.size());
    Requests.erase(it);
    return true;
  }
  const auto it = LiveRequests.find(event.Request);
  if (it == LiveRequests.end() || !isTerminal(it->second.State))
    return false;
  unindex(it->second);
  LiveRequests.erase(it);
  return true;
}

bool FateStateMachine::handle(const limits::SliceUpdate &event) {
  return Holdings.apply(event);
}

std::optional<FateStateMachine::TaskRef>
FateStateMachine::findOpenAttempt(const TaskId &id, const AttemptToken &token) {
  const auto it = Requests.find(id.Request);
  if (it == Requests.end() || id.Index >= it->second.Tasks.size())
    return std::nullopt;
  TaskRecord &task = it->second.Tasks[id.Index];
  if (!isOpenAttempt(task, token))
    return std::nullopt;
  return TaskRef{id, it->second, task};
}

bool FateStateMachine::isOpenAttempt(const TaskRecord &task,
                                     const AttemptToken &token) {
  return task.Token == token &&
         (task.HasActiveAttempt || task.State == FateState::Unresolved);
}

void FateStateMachine::markStarted(TaskRef ref, Instant at) {
  if (ref.Task.MayHaveRun)
    return;
  ref.Task.MayHaveRun = true;
  if (ref.Task.HasStarted)
    return;
  ref.Task.HasStarted = true;
  if (--ref.Request.UnstartedTasks > 0)
    return;
  ref.Request.StartedAt = at;
  StartDeadlines.erase({startDeadline(ref.Request), ref.Id.Request});
}

void FateStateMachine::releaseReservation(TaskRef ref) {
  if (ref.Task.State == FateState::Unresolved)
    Unresolved.erase({ref.Task.LostAt, ref.Id});
  if (!ref.Task.HasActiveAttempt)
    return;
  ByWorker.remove(placedAttempt(ref));
  ref.Task.HasActiveAttempt = false;
  UsedByTeam[ref.Request.Work.Team] -= ref.Task.Reserved;
}

PlacedAttempt FateStateMachine::placedAttempt(const TaskRef &ref) {
  return {ref.Id,
          ref.Task.Token,
          ref.Task.Worker,
          ref.Task.WorkerIncarnation,
          ref.Task.State == FateState::Running,
          ref.Request.isStopping()};
}

template <typename Change>
void FateStateMachine::stopRequest(RequestRecord &request, Change change) {
  const auto forEachActive = [&](auto visit) {
    for (uint32_t n = 0; n < request.Tasks.size(); ++n) {
      const TaskId id{request.Work.Request, n};
      if (request.Tasks[n].HasActiveAttempt)
        visit(placedAttempt({id, request, request.Tasks[n]}));
    }
  };
  forEachActive([this](const PlacedAttempt &it) { ByWorker.remove(it); });
  change();
  forEachActive([this](const PlacedAttempt &it) { ByWorker.add(it); });
}

void FateStateMachine::endTask(TaskRef ref, FateState state, std::string text,
                               Instant at) {
  RequestRecord &request = ref.Request;
  ref.Task.State = state;
  ref.Task.Text = std::move(text);
  --request.OpenTasks;
  const bool isIncomplete = isGang(request) && state != FateState::Finished;
  if (isIncomplete && !request.IsCancelled && !request.IsAbandoned) {
    stopRequest(request, [&] { request.IsAbandoned = true; });
    endQueued(request, "another task of the gang has ended", at);
  }
  if (request.OpenTasks == 0 && request.EndedAt == Instant::never())
    closeRequest(request, at);
}

void FateStateMachine::endStopped(TaskRef ref, std::string text, Instant at) {
  FateState state = FateState::NotRun;
  if (ref.Request.IsCancelled)
    state = FateState::Cancelled;
  else if (ref.Task.MayHaveRun)
    state = FateState::Failed;
  endTask(ref, state, std::move(text), at);
}

void FateStateMachine::retry(TaskRef ref, const std::string &reason,
                             bool isCounted, Instant at) {
  const catalogue::Entry &entry = ref.Request.Work.Entry;
  if (ref.Request.isStopping())
    return endStopped(ref, reason, at);
  if (isCounted)
    ++ref.Task.Failures;
  if (ref.Task.MayHaveRun && !entry.IsIdempotent)
    return endTask(ref, FateState::Failed,
                   absl::StrCat("not idempotent, so not run again: ", reason),
                   at);
  if (ref.Task.Failures >= entry.MaxAttempts)
    return endTask(ref, FateState::Failed, reason, at);
  ref.Task.State = FateState::Queued;
  ref.Task.Text = reason;
}

void FateStateMachine::endQueued(RequestRecord &request,
                                 const std::string &reason, Instant at) {
  for (uint32_t n = 0; n < request.Tasks.size(); ++n) {
    TaskRecord &task = request.Tasks[n];
    const TaskId id{request.Work.Request, n};
    if (task.State == FateState::Queued)
      endStopped({id, request, task}, reason, at);
  }
}

void FateStateMachine::closeRequest(RequestRecord &request, Instant at) {
  const RequestId &id = request.Work.Request;
  request.EndedAt = at;
  std::string().swap(request.Work.Payload);
  StartDeadlines.erase({startDeadline(request), id});
  indexEnded(at, id, request.Tasks.size());
}

FateSnapshot FateStateMachine::state() const {
  FateSnapshot state;
  for (const auto &[id, request] : Requests)
    state.Requests.push_back(request);
  for (const auto &[id, live] : LiveRequests)
    state.LiveRequests.push_back(live);
  state.Holdings = Holdings.state();
  return state;
}

Result<FateStateMachine> FateStateMachine::fromState(FateSnapshot state,
                                                     FatePolicy policy) {
  FateStateMachine book(policy);
  for (RequestRecord &request : state.Requests) {
    if (request.OpenTasks > request.Tasks.size() || request.Tasks.empty())
      return Error{
          ErrorKind::CorruptData,
          absl::StrCat(
              "request ", request.Work.Request.str(),
              " in the snapshot has no tasks, or more open tasks than tasks"),
          "fetch the snapshot again from the zone's leader"};
    book.index(request);
    const RequestId id = request.Work.Request;
    book.Requests.insert_or_assign(id, std::move(request));
  }
  for (LiveRecord &live : state.LiveRequests) {
    book.index(live);
    const RequestId id = live.Offer.Request;
    book.LiveRequests.insert_or_assign(id, std::move(live));
  }
  book.Holdings.apply(state.Holdings);
  return book;
}

} // namespace jujube::fate
