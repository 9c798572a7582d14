// Snapshots of the job state.
#include <utility>

#include "jujube/jobs/job_state_machine.h"

namespace jujube::jobs {

JobSnapshot JobStateMachine::capture() const {
  JobSnapshot state{Config};
  for (const auto &[id, job] : Jobs)
    state.Jobs.push_back(job);
  for (const auto &[id, worker] : Workers)
    state.Workers.push_back(worker);
  for (const WorkerId &id : DepartureOrder) {
    Worker departed;
    departed.Id = id;
    departed.WorkerIncarnation = Departed.at(id);
    departed.IsDraining = true;
    state.Workers.push_back(std::move(departed));
  }
  for (const auto &[place, queue] : Retired)
    state.Retired.push_back(queue);
  state.Evacuated.assign(Evacuated.begin(), Evacuated.end());
  state.Usage = Usage.capture();
  state.Withdrawn = Withdrawn.capture();
  for (const auto &[id, team] : RetiredTeams)
    state.RetiredTeams.push_back(team);
  return state;
}

JobStateMachine JobStateMachine::restore(JobSnapshot state) {
  JobStateMachine book;
  book.Config = std::move(state.Config);
  for (Queue &queue : state.Retired)
    book.Retired.emplace(placeOf(queue), std::move(queue));
  book.Evacuated.insert(state.Evacuated.begin(), state.Evacuated.end());
  book.Usage = shares::UsageLedger::restore(state.Usage);
  book.Withdrawn = Withdrawals::restore(state.Withdrawn);
  for (Team &team : state.RetiredTeams)
    book.RetiredTeams.emplace(team.Id, std::move(team));
  for (Worker &worker : state.Workers) {
    if (worker.At == Address{})
      book.recordDeparture(worker.Id, worker.WorkerIncarnation);
    else
      book.Workers.emplace(worker.Id, std::move(worker));
  }
  for (Job &job : state.Jobs) {
    if (!isEnded(job.State))
      book.Open.insert(job.Spec.Id);
    // Snapshots of earlier versions do not have the terms.
    book.adoptTerms(job);
    const JobId id = job.Spec.Id;
    const Job &restored = book.Jobs.emplace(id, std::move(job)).first->second;
    if (restored.State == JobState::Queued)
      book.countQueued(restored);
    if (!isEnded(restored.State))
      book.updateAllWaiting(restored);
    for (uint32_t k = 0; k < restored.Occurrences.size(); ++k)
      for (uint32_t s = 0; s < restored.Occurrences[k].Steps.size(); ++s)
        for (uint32_t i = 0; i < restored.Occurrences[k].Steps[s].Tasks.size();
             ++i)
          if (const auto &live = restored.Occurrences[k].Steps[s].Tasks[i].Live)
            book.addLoad(restored, TaskKey{id, k, s, i}, live->Worker);
  }
  // Snapshots of earlier versions do not have the use of teams.
  if (state.Usage == shares::LedgerState())
    for (const auto &[team, used] : book.Used)
      book.Usage.begin(team, used);
  return book;
}

} // namespace jujube::jobs
