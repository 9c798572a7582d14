#include "jujube/placement/queue.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace jujube::placement::internal {
namespace {

// Retries of a failed task without a backoff.
constexpr uint32_t ImmediateRetries = 1;

std::string describe(const Resources &r) {
  return absl::StrCat(r.MilliCpu, " millicpu, ", r.MemoryMb, " MiB, ",
                      r.Accelerators, " accelerators");
}

Error impossible(std::string message, std::string remedy) {
  return Error{ErrorKind::ImpossibleRequest, std::move(message),
               std::move(remedy)};
}

OrderKey orderKeyOf(const PlannerState &state, const RequestState &request) {
  const QueuedView view = {request.AcceptedAt, request.Work.Entry.Class,
                           static_cast<uint32_t>(request.Tasks.size()),
                           request.Placed + request.Done,
                           state.expectedRun(request)};
  return {state.Hooks.OrderKey(view), request.Seq};
}

void queueTask(PlannerState &state, RequestState &request, uint32_t index) {
  request.Tasks[index].Stage = TaskStage::Queued;
  if (request.Queued.empty()) {
    request.Order = orderKeyOf(state, request);
    request.Lane->Queue[request.Order] = &request;
  }
  request.Queued.insert(
      std::ranges::lower_bound(request.Queued, index, std::greater<>()), index);
}

// Adds `n` waiting (queued or delayed) tasks to the counts of the team and the
// zone.
void adjustWaitingCounts(PlannerState &state, RequestState &request,
                         int64_t n) {
  request.Team->Queued += request.Work.Entry.Demand * n;
  request.Team->QueuedTasks += n;
  state.QueuedTasks += n;
}

void delayTask(PlannerState &state, RequestState &request, uint32_t index,
               Instant until) {
  request.Tasks[index].Stage = TaskStage::Delayed;
  request.Tasks[index].Since = until;
  ++request.Delayed;
  state.DelayedTasks[{until, request.Seq, index}] = &request;
}

void dropWaiting(PlannerState &state, RequestState &request) {
  if (!request.Queued.empty())
    request.Lane->Queue.erase(request.Order);
  const auto waiting =
      static_cast<int64_t>(request.Queued.size()) + request.Delayed;
  adjustWaitingCounts(state, request, -waiting);
  for (uint32_t i = 0; i < request.Tasks.size(); ++i) {
    TaskState &task = request.Tasks[i];
    if (task.Stage == TaskStage::Delayed)
      state.DelayedTasks.erase({task.Since, request.Seq, i});
    if (task.Stage == TaskStage::Delayed || task.Stage == TaskStage::Queued)
      task.Stage = TaskStage::Ended;
  }
  request.Queued.clear();
  request.Delayed = 0;
}

Instant deadlineOf(const RequestState &request) {
  return request.AcceptedAt + request.Work.StartWithin;
}

// Registers the deadline, so that a plan after it rejects the request.
void trackDeadline(PlannerState &state, RequestState &request) {
  if (request.Work.StartWithin > Duration() && !request.HasRun)
    state.Deadlines[{deadlineOf(request), request.Seq}] = &request;
}

void rejectIfImpossible(PlannerState &state, RequestState &request,
                        Instant now) {
  request.CheckedAt = now;
  if (std::optional<Error> why = findImpossible(state, request))
    rejectRequest(state, request, std::move(*why));
}

void rejectExpired(PlannerState &state, Instant now) {
  while (!state.Deadlines.empty() &&
         state.Deadlines.begin()->first.first <= now) {
    RequestState &request = *state.Deadlines.begin()->second;
    state.Deadlines.erase(state.Deadlines.begin());
    rejectRequest(state, request,
                  Error{ErrorKind::DeadlineExceeded,
                        absl::StrCat("request '", request.Work.Request.str(),
                                     "' was not started within ",
                                     request.Work.StartWithin.millis(), " ms"),
                        "submit it again with a longer start_within_ms"});
  }
}

void endBackoffs(PlannerState &state, Instant now) {
  while (!state.DelayedTasks.empty()) {
    const auto [key, request] = *state.DelayedTasks.begin();
    if (std::get<Instant>(key) > now)
      return;
    state.DelayedTasks.erase(state.DelayedTasks.begin());
    --request->Delayed;
    queueTask(state, *request, std::get<uint32_t>(key));
  }
}

// The number of tasks of a gang, at most `limit`, that fit on all workers of
// the zone when they are empty.
uint32_t countFittingInZone(const PlannerState &state, const Resources &ask,
                            uint32_t limit) {
  std::vector<uint32_t> slots;
  state.WorkerCapacity.collect(ask, 0, state.WorkerCapacity.size(), slots);
  uint32_t count = 0;
  for (uint32_t slot : slots) {
    count += countFitting(state.Workers[slot].Capacity, ask, limit - count);
    if (count >= limit)
      break;
  }
  return count;
}

} // namespace

RequestState &findOrAddRequest(PlannerState &state,
                               const fate::Submission &work,
                               Instant acceptedAt) {
  std::unique_ptr<RequestState> &found = state.Requests[work.Request];
  if (found)
    return *found;
  found = std::make_unique<RequestState>();
  RequestState &request = *found;
  request.Work = work;
  request.Work.Payload.clear();
  request.Work.BodyDigest.clear();
  request.AcceptedAt = acceptedAt;
  request.Seq = state.NextSeq++;
  request.Team = &state.team(work.Team);
  request.Entry = &state.entry(work.Entry.Id);
  request.Lane = &state.lane(request);
  request.Tasks.resize(std::max(work.Tasks, 1U));
  trackDeadline(state, request);
  return request;
}

void enqueueTasks(PlannerState &state, RequestState &request,
                  const std::vector<uint32_t> &tasks, Instant now) {
  if (request.IsCancelled)
    return;
  const auto isIdle = [&request](uint32_t i) {
    return i < request.Tasks.size() &&
           (request.Tasks[i].Stage == TaskStage::Absent ||
            request.Tasks[i].Stage == TaskStage::Ended);
  };
  // Descending, so that each insertion appends.
  std::vector<uint32_t> indices = tasks;
  std::ranges::sort(indices, std::greater<>());
  for (uint32_t index : indices) {
    if (!isIdle(index))
      continue;
    queueTask(state, request, index);
    adjustWaitingCounts(state, request, 1);
  }
  if (state.FirstWorkerAt + state.Config.SettleTime <= now)
    rejectIfImpossible(state, request, now);
  else
    state.UncheckedRequests.push_back(request.Work.Request);
}

void requeueTask(PlannerState &state, RequestState &request, uint32_t index,
                 Instant now) {
  TaskState &task = request.Tasks[index];
  if (request.IsCancelled || task.Stage != TaskStage::Ended)
    return;
  adjustWaitingCounts(state, request, 1);
  trackDeadline(state, request);
  const bool isSuspect = request.Entry->History.isSuspect(now);
  if (task.Failures == 0 || (task.Failures <= ImmediateRetries && !isSuspect))
    queueTask(state, request, index);
  else
    delayTask(state, request, index,
              now + exponentialDelay(state.Config.BackoffMin,
                                     state.Config.BackoffMax, task.Failures));
}

void dequeueTask(PlannerState &state, RequestState &request, uint32_t index) {
  const auto it =
      std::ranges::lower_bound(request.Queued, index, std::greater<>());
  request.Queued.erase(it);
  adjustWaitingCounts(state, request, -1);
  if (request.Queued.empty())
    request.Lane->Queue.erase(request.Order);
}

void reorder(PlannerState &state, RequestState &request) {
  const OrderKey order = orderKeyOf(state, request);
  if (request.Queued.empty() || order == request.Order)
    return;
  request.Lane->Queue.erase(request.Order);
  request.Order = order;
  request.Lane->Queue[order] = &request;
}

void cancelRequest(PlannerState &state, RequestState &request) {
  if (request.IsCancelled)
    return;
  request.IsCancelled = true;
  dropWaiting(state, request);
  state.dropHolds(request);
  for (uint32_t i = 0; i < request.Tasks.size(); ++i) {
    if (request.Tasks[i].Stage != TaskStage::Placed)
      continue;
    state.markStopping(request, i);
    state.PendingActions.emplace_back(
        StopTask{{request.Work.Request, i}, StopReason::Cancelled});
  }
  eraseIfFinished(state, request);
}

void eraseRequest(PlannerState &state, RequestState &request) {
  dropWaiting(state, request);
  state.dropHolds(request);
  state.Deadlines.erase({deadlineOf(request), request.Seq});
  state.Requests.erase(RequestId(request.Work.Request));
}

void eraseIfFinished(PlannerState &state, RequestState &request) {
  if (request.Placed > 0)
    return;
  if (request.IsCancelled || request.Done == request.Tasks.size())
    eraseRequest(state, request);
}

std::optional<Error> findImpossible(const PlannerState &state,
                                    const RequestState &request) {
  const catalogue::Entry &entry = request.Work.Entry;
  const auto tasks = static_cast<uint32_t>(request.Tasks.size());
  const uint32_t together = request.isGang() ? tasks : 1;
  const TeamState &team = *request.Team;
  if (request.isGang() && entry.MaxRunning > 0 && tasks > entry.MaxRunning)
    return impossible(absl::StrCat("a gang of ", tasks, " tasks of entry '",
                                   entry.Id.str(), "' passes its limit of ",
                                   entry.MaxRunning, " running"),
                      "submit fewer tasks or raise the entry's max_running");
  if (team.IsConfigured && !(entry.Demand * together).fitsIn(team.Ceiling))
    return impossible(absl::StrCat("a start asks ",
                                   describe(entry.Demand * together),
                                   "; the ceiling of team '", team.Id.str(),
                                   "' is ", describe(team.Ceiling)),
                      "ask for less or have the ceiling raised");
  if (!state.WorkerCapacity.anyFits(entry.Demand))
    return impossible(
        absl::StrCat("a task asks ", describe(entry.Demand),
                     "; the largest amounts on any worker of the availability "
                     "zone are ",
                     describe(state.WorkerCapacity.largest())),
        "ask for less or submit to another availability zone");
  const uint32_t fitting =
      request.isGang() ? countFittingInZone(state, entry.Demand, tasks) : tasks;
  if (fitting < tasks)
    return impossible(
        absl::StrCat("a gang of ", tasks, " tasks of ", describe(entry.Demand),
                     "; all workers together hold ", fitting),
        "submit fewer tasks or submit to another availability zone");
  return std::nullopt;
}

void rejectRequest(PlannerState &state, RequestState &request, Error why) {
  if (request.HasRun || request.Placed > 0)
    return;
  state.PendingActions.emplace_back(
      RejectRequest{request.Work.Request, std::move(why)});
  eraseRequest(state, request);
}

void runQueueTimers(PlannerState &state, Instant now) {
  endBackoffs(state, now);
  rejectExpired(state, now);
  if (state.UncheckedRequests.empty() ||
      now < state.FirstWorkerAt + state.Config.SettleTime)
    return;
  const std::vector<RequestId> unchecked = std::move(state.UncheckedRequests);
  state.UncheckedRequests.clear();
  for (const RequestId &id : unchecked)
    if (RequestState *request = state.findRequest(id))
      rejectIfImpossible(state, *request, now);
}

} // namespace jujube::placement::internal
