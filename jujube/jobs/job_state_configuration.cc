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

// The new ids of teams that keep a key: callers know their team by its keys
// only.
std::map<TeamId, TeamId> renamedTeams(const Configuration &before,
                                      const Configuration &now) {
  std::map<TeamId, TeamId> renamed;
  for (const Team &team : before.Teams) {
    if (findTeam(now, team.Id) != nullptr)
      continue;
    for (const std::string &key : team.Keys) {
      const Team *same = teamOfKey(now, key);
      if (same != nullptr && findTeam(before, same->Id) == nullptr)
        renamed.emplace(team.Id, same->Id);
    }
  }
  return renamed;
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
  followRenames(before);
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

void JobStateMachine::followRenames(const Configuration &before) {
  const auto places = movedQueues(before, Config);
  const auto teams = renamedTeams(before, Config);
  if (places.empty() && teams.empty())
    return;
  for (auto &[id, job] : Jobs) {
    if (const auto it = places.find(job.Place); it != places.end())
      job.Place = it->second;
    if (const auto it = teams.find(job.Spec.Team); it != teams.end())
      job.Spec.Team = it->second;
  }
  Withdrawn.updateOwners([&](Owner &by) {
    if (const auto it = teams.find(by.Team); it != teams.end())
      by.Team = it->second;
  });
  for (const auto &[from, to] : teams) {
    Usage.rename(from, to);
    if (const auto node = Used.extract(from); !node.empty())
      Used[to] += node.mapped();
  }
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
