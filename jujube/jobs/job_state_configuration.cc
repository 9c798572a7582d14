// How the job state follows a change of the configuration.
#include <map>
#include <set>
#include <utility>

#include "jujube/jobs/job_state_machine.h"

namespace jujube::jobs {
namespace {

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
  // Also the queues without jobs: a job that was accepted at the same time may
  // come next in the log.
  for (const Queue &queue : before.Queues)
    if (findQueue(Config, placeOf(queue)) == nullptr)
      Retired.insert_or_assign(placeOf(queue), queue);
  for (auto &[id, job] : Jobs)
    followQueue(job);
  dropRetiredQueues(before);
}

void JobStateMachine::followQueue(Job &job) const {
  Origin &from = job.From;
  if (from.Place == QueuePlace())
    from.Place = job.Place;
  const bool hasMoved = from.MovedTo != QueuePlace();
  const QueuePlace &last = hasMoved ? from.MovedTo : from.Place;
  if (const auto it = Retired.find(last); it != Retired.end()) {
    const Queue *same = findQueue(Config, it->second.Id);
    if (findQueue(Config, last) == nullptr && same != nullptr &&
        same->Pool == it->second.Pool)
      from.MovedTo = placeOf(*same);
  }
  const Queue *original = findQueue(Config, from.Place);
  const Queue *moved = findQueue(Config, from.MovedTo);
  // The job stays with the workers of its pool.
  if (moved != nullptr &&
      (original == nullptr || original->Pool != moved->Pool))
    job.Place = from.MovedTo;
  else if (original != nullptr)
    job.Place = from.Place;
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
  dropRetiredTeams(before);
}

Owner JobStateMachine::currentOwner(Owner owner) const {
  const Team *team = teamOfKey(Config, owner.Key);
  if (team != nullptr && !owner.Key.empty())
    owner.Team = team->Id;
  else if (RetiredTeams.contains(owner.Team))
    TeamSuccession(RetiredTeams, Config).update(owner);
  return owner;
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

void JobStateMachine::dropRetiredTeams(const Configuration &before) {
  std::set<TeamId> owners;
  for (const auto &[id, job] : Jobs)
    owners.insert(job.Spec.Team);
  for (const Withdrawal &withdrawn : Withdrawn.capture())
    owners.insert(withdrawn.By.Team);
  std::erase_if(RetiredTeams, [&](const auto &it) {
    return findTeam(Config, it.first) != nullptr ||
           (!owners.contains(it.first) &&
            findTeam(before, it.first) == nullptr);
  });
}

void JobStateMachine::dropRetiredQueues(const Configuration &before) {
  std::set<QueuePlace> used;
  for (const JobId &id : Open) {
    const Job &job = *find(id);
    for (const QueuePlace &place :
         {job.Place, job.From.Place, job.From.MovedTo})
      used.insert(place);
  }
  std::erase_if(Retired, [&](const auto &it) {
    return findQueue(Config, it.first) != nullptr ||
           (!used.contains(it.first) && findQueue(before, it.first) == nullptr);
  });
}

void JobStateMachine::adoptTerms(Job &job) const {
  if (job.Place == QueuePlace())
    if (const Queue *queue = findQueue(Config, job.Spec.Queue))
      job.Place = placeOf(*queue);
  followQueue(job);
  const Queue *queue = queueOf(job);
  if (job.MaxAttempts == 0 && queue != nullptr)
    job.MaxAttempts = queue->MaxAttempts;
}

} // namespace jujube::jobs
