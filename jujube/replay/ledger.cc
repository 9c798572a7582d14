#include "jujube/replay/ledger.h"

#include <algorithm>
#include <numeric>
#include <set>
#include <variant>

#include "absl/strings/str_cat.h"

namespace jujube::replay {
namespace {

std::string describe(const TaskId &id) {
  return absl::StrCat(id.Request.str(), "/", id.Index);
}

Resources sumOf(const std::map<TeamId, Resources> &parts) {
  return std::accumulate(
      parts.begin(), parts.end(), Resources{},
      [](const Resources &sum, const auto &part) { return sum + part.second; });
}

} // namespace

void Ledger::announceWorker(const fate::WorkerAnnouncement &announcement) {
  Worker &worker = Workers[announcement.Worker];
  worker.Capacity = announcement.Capacity;
  worker.IsServing = !announcement.IsLeaving;
}

void Ledger::markWorkerLost(const WorkerId &id) {
  Workers[id].IsServing = false;
}

void Ledger::setSlice(const TeamId &team, const Resources &slice) {
  Slices[team] = slice;
}

// Sets the task's state and updates the totals of waiting and placed work.
void Ledger::move(Task &task, const Request &request, TaskState state) {
  const fate::Submission &work = request.Work;
  if (task.State == TaskState::Waiting)
    Waiting[work.Team] -= work.Entry.Demand;
  if (task.State == TaskState::Placed) {
    Used[work.Team] -= task.Reserved;
    Workers[task.Worker].Reserved -= task.Reserved;
    --Placed[work.Entry.Id];
  }
  task.State = state;
  if (state == TaskState::Waiting)
    Waiting[work.Team] += work.Entry.Demand;
  if (state == TaskState::Placed) {
    Used[work.Team] += task.Reserved;
    Workers[task.Worker].Reserved += task.Reserved;
    ++Placed[work.Entry.Id];
  }
}

void Ledger::submitted(const fate::Submission &work) {
  Request &request = Requests[work.Request];
  request.Work = work;
  request.Tasks.resize(work.Tasks);
  for (Task &task : request.Tasks)
    move(task, request, TaskState::Waiting);
}

void Ledger::requeued(const TaskId &id) {
  Request &request = Requests[id.Request];
  Task &task = request.Tasks[id.Index];
  if (task.State == TaskState::Idle && !request.IsCancelled)
    move(task, request, TaskState::Waiting);
}

void Ledger::ended(const TaskId &id, placement::EndKind kind) {
  Request &request = Requests[id.Request];
  Task &task = request.Tasks[id.Index];
  if (task.State != TaskState::Placed)
    return;
  request.HasRun |= kind != placement::EndKind::Refused;
  move(task, request,
       kind == placement::EndKind::Finished ? TaskState::Done
                                            : TaskState::Idle);
  task.IsStopping = false;
}

void Ledger::cancelled(const RequestId &id) {
  Request &request = Requests[id];
  request.IsCancelled = true;
  for (Task &task : request.Tasks)
    if (task.State == TaskState::Waiting)
      move(task, request, TaskState::Idle);
}

std::vector<Finding>
Ledger::apply(const std::vector<placement::Action> &actions) {
  std::vector<Finding> findings;
  std::set<RequestId> offered;
  for (const placement::Action &action : actions) {
    std::visit([&](const auto &a) { applyAction(a, findings); }, action);
    if (const auto *offer = std::get_if<placement::Offer>(&action))
      offered.insert(offer->Task.Request);
  }
  for (const RequestId &id : offered)
    checkGang(id, findings);
  return findings;
}

void Ledger::applyAction(const placement::Offer &offer,
                         std::vector<Finding> &findings) {
  const auto it = Requests.find(offer.Task.Request);
  if (it == Requests.end() || it->second.IsCancelled || it->second.IsRejected ||
      offer.Task.Index >= it->second.Tasks.size() ||
      it->second.Tasks[offer.Task.Index].State != TaskState::Waiting) {
    findings.push_back({Violation::TaskNotWaiting, describe(offer.Task)});
    return;
  }
  Request &request = it->second;
  Task &task = request.Tasks[offer.Task.Index];
  task.Worker = offer.Worker;
  task.Reserved = offer.Reserved;
  move(task, request, TaskState::Placed);
  if (!Workers[offer.Worker].IsServing)
    findings.push_back({Violation::WorkerNotServing, describe(offer.Task)});
  const catalogue::Entry &entry = request.Work.Entry;
  if (entry.MaxRunning > 0 && Placed[entry.Id] > entry.MaxRunning)
    findings.push_back({Violation::EntryLimitPassed, describe(offer.Task)});
  checkRoom(offer.Worker, request.Work.Team, findings);
}

void Ledger::checkRoom(const WorkerId &id, const TeamId &team,
                       std::vector<Finding> &findings) const {
  const Worker &worker = Workers.at(id);
  if (!worker.Reserved.fitsIn(worker.Capacity))
    findings.push_back({Violation::WorkerOverfull, id.str()});
  const auto slice = Slices.find(team);
  if (!Used.at(team).fitsIn(slice == Slices.end() ? Resources{}
                                                  : slice->second))
    findings.push_back({Violation::SlicePassed, team.str()});
}

void Ledger::checkGang(const RequestId &id,
                       std::vector<Finding> &findings) const {
  const auto it = Requests.find(id);
  if (it == Requests.end() ||
      it->second.Work.Entry.Class != catalogue::WorkClass::Gang)
    return;
  const bool isWhole =
      std::ranges::all_of(it->second.Tasks, [](const Task &task) {
        return (task.State == TaskState::Placed && !task.IsStopping) ||
               task.State == TaskState::Done;
      });
  if (!isWhole)
    findings.push_back({Violation::GangSplit, id.str()});
}

Ledger::Task *Ledger::placedTask(const TaskId &id) {
  const auto it = Requests.find(id.Request);
  if (it == Requests.end() || id.Index >= it->second.Tasks.size())
    return nullptr;
  Task &task = it->second.Tasks[id.Index];
  return task.State == TaskState::Placed ? &task : nullptr;
}

void Ledger::markStopping(const TaskId &id, std::vector<Finding> &findings) {
  if (Task *task = placedTask(id))
    task->IsStopping = true;
  else
    findings.push_back({Violation::TaskNotPlaced, describe(id)});
}

void Ledger::applyAction(const placement::StopTask &stop,
                         std::vector<Finding> &findings) {
  markStopping(stop.Task, findings);
}

void Ledger::applyAction(const placement::CheckpointTask &stop,
                         std::vector<Finding> &findings) {
  markStopping(stop.Task, findings);
}

void Ledger::applyAction(const placement::ThrottleTask &throttle,
                         std::vector<Finding> &findings) {
  Task *task = placedTask(throttle.Task);
  if (!task) {
    findings.push_back({Violation::TaskNotPlaced, describe(throttle.Task)});
    return;
  }
  Request &request = Requests[throttle.Task.Request];
  const bool isMore = !throttle.Grant.fitsIn(task->Reserved);
  const WorkerId worker = task->Worker;
  Used[request.Work.Team] += throttle.Grant - task->Reserved;
  Workers[worker].Reserved += throttle.Grant - task->Reserved;
  task->Reserved = throttle.Grant;
  if (isMore)
    checkRoom(worker, request.Work.Team, findings);
}

void Ledger::applyAction(const placement::RejectRequest &reject,
                         std::vector<Finding> &findings) {
  Request &request = Requests[reject.Request];
  const bool isPlaced =
      std::ranges::any_of(request.Tasks, [](const Task &task) {
        return task.State == TaskState::Placed;
      });
  if (isPlaced || request.HasRun)
    findings.push_back({Violation::RejectedAfterStart, reject.Request.str()});
  request.IsRejected = true;
  for (Task &task : request.Tasks)
    if (task.State == TaskState::Waiting)
      move(task, request, TaskState::Idle);
}

Resources Ledger::reservedBy(const TeamId &team) const {
  const auto it = Used.find(team);
  return it == Used.end() ? Resources{} : it->second;
}

Resources Ledger::waitingOf(const TeamId &team) const {
  const auto it = Waiting.find(team);
  return it == Waiting.end() ? Resources{} : it->second;
}

Resources Ledger::capacity() const {
  return std::accumulate(Workers.begin(), Workers.end(), Resources{},
                         [](const Resources &sum, const auto &worker) {
                           return worker.second.IsServing
                                      ? sum + worker.second.Capacity
                                      : sum;
                         });
}

Resources Ledger::reserved() const { return sumOf(Used); }

Resources Ledger::demand() const { return sumOf(Used) + sumOf(Waiting); }

} // namespace jujube::replay
