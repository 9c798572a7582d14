// The indexes that FateStateMachine derives from its records.
#include <utility>

#include "jujube/fate/fate_state_machine.h"

namespace jujube::fate {

void FateStateMachine::indexEnded(Instant at, const RequestId &id,
                                  std::size_t tasks) {
  if (EndedRequests.emplace(at, id).second)
    EndedTasks += tasks;
}

void FateStateMachine::unindexEnded(Instant at, const RequestId &id,
                                    std::size_t tasks) {
  if (EndedRequests.erase({at, id}) > 0)
    EndedTasks -= tasks;
}

Instant FateStateMachine::startDeadline(const RequestRecord &request) const {
  return request.Work.StartWithin > Duration()
             ? request.AcceptedAt + request.Work.StartWithin
             : Instant::never();
}

void FateStateMachine::index(RequestRecord &request) {
  const RequestId &id = request.Work.Request;
  if (request.OpenTasks == 0)
    indexEnded(request.EndedAt, id, request.Tasks.size());
  else if (request.UnstartedTasks > 0 &&
           startDeadline(request) != Instant::never())
    StartDeadlines.emplace(startDeadline(request), id);
  for (uint32_t n = 0; n < request.Tasks.size(); ++n) {
    TaskRecord &task = request.Tasks[n];
    const TaskId taskId{id, n};
    if (task.HasActiveAttempt) {
      UsedByTeam[request.Work.Team] += task.Reserved;
      ByWorker.add(placedAttempt({taskId, request, task}));
    }
    if (task.State == FateState::Unresolved)
      Unresolved.emplace(task.LostAt, taskId);
  }
}

void FateStateMachine::index(const LiveRecord &live) {
  const RequestId &id = live.Offer.Request;
  if (live.State == FateState::Offered)
    ByEntryHost[live.Offer.EntryHost].insert(id);
  else if (isTerminal(live.State))
    indexEnded(live.ChangedAt, id, 1);
  else
    UnsettledLive.emplace(live.ChangedAt, id);
}

void FateStateMachine::unindex(const LiveRecord &live) {
  const RequestId &id = live.Offer.Request;
  UnsettledLive.erase({live.ChangedAt, id});
  unindexEnded(live.ChangedAt, id, 1);
  const auto it = ByEntryHost.find(live.Offer.EntryHost);
  if (it == ByEntryHost.end())
    return;
  it->second.erase(id);
  if (it->second.empty())
    ByEntryHost.erase(it);
}

} // namespace jujube::fate
