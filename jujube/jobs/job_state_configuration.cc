// How the job state follows a change of the configuration.
#include <map>
#include <set>
#include <utility>

#include "jujube/jobs/job_state_machine.h"

namespace jujube::jobs {
namespace {

// Where queues have moved to that keep their id and pool.
std::map<QueuePlace, QueuePlace> movedQueues(const Configuration &before,
                                             const Configuration &now) {
  std::map<QueuePlace, QueuePlace> moved;
  for (const Queue &queue : before.Queues) {
    if (findQueue(now, placeOf(queue)) != nullptr)
      continue;
    const Queue *same = findQueue(now, queue.Id);
    if (same != nullptr && same->Pool == queue.Pool &&
        findQueue(before, placeOf(*same)) == nullptr)
      moved.emplace(placeOf(queue), placeOf(*same));
  }
  return moved;
}

// What the job's tasks request that may be running.
Resources liveRequestOf(const Job &job) {
  Resources sum;
  if (job.LiveTasks == 0)
    return sum;
  for (const Occurrence &round : job.Occurrences)
    for (std::size_t i = 0; i < round.Steps.size(); ++i)
      sum += job.Spec.Steps[i].Ask * round.Steps[i].LiveTasks;
  return sum;
}

} // namespace

const Queue *JobStateMachine::queueOf(const Job &job) const {
  if (const Queue *queue = findQueue(Config, job.Place))
    return queue;
  const auto it = Retired.find(job.Place);
  return it == Retired.end() ? nullptr : &it->second;
}

void JobStateMachine::handle(const ConfigurationPut &event) {
  if (event.Value.Version <= Config.Version)
    return;
  const Configuration before = std::exchange(Config, event.Value);
  followQueues(before);
  followTeams(before);
  retireQueues(before);
  Waiting.clear();
  Pending.clear();
  QueuedWork.clear();
  for (const JobId &id : Open) {
    Job &job = *findMutable(id);
    adoptTerms(job);
    if (job.State == JobState::Queued)
      countQueued(job);
    updateAllWaiting(job);
  }
}

void JobStateMachine::followQueues(const Configuration &before) {
  const auto places = movedQueues(before, Config);
  if (places.empty())
    return;
  for (auto &[id, job] : Jobs)
    if (const auto it = places.find(job.Place); it != places.end())
      job.Place = it->second;
}

void JobStateMachine::followTeams(const Configuration &before) {
  for (const Team &team : before.Teams)
    RetiredTeams.insert_or_assign(team.Id, team);
  const TeamSuccession succession(RetiredTeams, Config);
  Usage.rename(succession.successors());
  std::map<TeamId, Resources> used;
  for (const auto &[team, request] : Used)
    used[succession.successorOf(team)] += request;
  Used = std::move(used);
  for (auto &[id, job] : Jobs)
    followTeam(job, succession);
  Withdrawn.updateOwners([&](Owner &by) { succession.update(by); });
  dropRetiredTeams();
}

void JobStateMachine::followTeam(Job &job, const TeamSuccession &succession) {
  Owner owner{job.Spec.Team, job.From.Key};
  succession.update(owner);
  // The use of the whole team has moved there already.
  const TeamId counted = succession.successorOf(job.Spec.Team);
  if (const Resources live = liveRequestOf(job);
      owner.Team != counted && live != Resources()) {
    Usage.end(counted, live);
    Usage.begin(owner.Team, live);
    Used[owner.Team] += live;
    if ((Used[counted] -= live) == Resources())
      Used.erase(counted);
  }
  job.Spec.Team = owner.Team;
  job.From.Key = owner.Key;
}

void JobStateMachine::dropRetiredTeams() {
  std::set<TeamId> owners;
  for (const auto &[id, job] : Jobs)
    owners.insert(job.Spec.Team);
  for (const Withdrawal &withdrawn : Withdrawn.capture())
    owners.insert(withdrawn.By.Team);
  std::erase_if(RetiredTeams, [&](const auto &it) {
    return findTeam(Config, it.first) != nullptr || !owners.contains(it.first);
  });
}

void JobStateMachine::retireQueues(const Configuration &before) {
  std::set<QueuePlace> used;
  for (const JobId &id : Open)
    used.insert(find(id)->Place);
  std::erase_if(Retired, [&](const auto &it) {
    return !used.contains(it.first) || findQueue(Config, it.first) != nullptr;
  });
  // Also the queues without jobs: a job that was accepted at the same time may
  // come next in the log.
  for (const Queue &queue : before.Queues)
    if (findQueue(Config, placeOf(queue)) == nullptr)
      Retired.insert_or_assign(placeOf(queue), queue);
}

void JobStateMachine::adoptTerms(Job &job) const {
  if (job.Place == QueuePlace())
    if (const Queue *queue = findQueue(Config, job.Spec.Queue))
      job.Place = placeOf(*queue);
  const Queue *queue = queueOf(job);
  if (job.MaxAttempts == 0 && queue != nullptr)
    job.MaxAttempts = queue->MaxAttempts;
}

} // namespace jujube::jobs
